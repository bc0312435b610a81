"""Store of the users' platform's stand-in: rows, feed and transactions."""

import base64
import json
import time
import urllib.parse

from standins import users_http

__all__ = ['StoreHandler', 'row_document']

FEED_POLL_S = 0.01


class StoreHandler(users_http.Handler):
    """HTTP handler for rows, the change feed and transactions."""

    def end_headers(self) -> None:
        self.send_header('Store-Era', str(self.server.owner.timeline))
        super().end_headers()

    def parse_request(self) -> bool:
        is_valid = super().parse_request()
        with self.server.owner.lock:
            self.server.owner.store_calls += is_valid
        return is_valid

    def do_GET(self) -> None:
        platform = self.server.owner
        path = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(path.query))
        table = query.get('table', '')
        if platform.is_down:
            self.answer(503, {}, b'')
        elif path.path == '/api/rows-get':
            with platform.lock:
                rows = [
                    row_document(table, key, value, value[1])
                    for (name, key), value in sorted(platform.rows.items())
                    if name == table
                ]
            self.send_rows(rows)
        else:
            self.feed(table, int(query['afterRev']), float(query['waitMs']))

    def feed(self, table: str, after: int, wait_ms: float) -> None:
        platform = self.server.owner
        if not platform.oldest_change <= after <= platform.version:
            self.answer(410, {}, b'')
            return
        end_s = time.monotonic() + wait_ms / 1_000
        rows = platform.changes(table, after)
        timeline = platform.timeline
        while not rows and time.monotonic() < end_s:
            time.sleep(FEED_POLL_S)
            if platform.is_down:
                break
            if platform.timeline != timeline:
                self.answer(410, {}, b'')
                return
            rows = platform.changes(table, after)
        if platform.is_down:
            self.answer(503, {}, b'')
        else:
            self.send_rows(rows)

    def do_POST(self) -> None:
        platform = self.server.owner
        body = json.loads(self.read_body())
        if platform.is_down:
            self.answer(503, {}, b'')
            return
        for expected in body['expectedRev']:
            row = platform.rows.get((expected['table'], expected['key']))
            if (row[1] if row else 0) != expected['ver']:
                self.send_rows([], 412)
                return
        for entry in body['writes']:
            value = base64.b64decode(entry['value'])
            platform.put(entry['table'], entry['key'], value)
        for entry in body['deletes']:
            platform.put(entry['table'], entry['key'], None)
        self.send_rows([])

    def send_rows(self, rows: list[dict], status: int = 200) -> None:
        platform = self.server.owner
        if platform.answers_to_lose > 0:
            platform.answers_to_lose -= 1
            self.close_connection = True
            return
        document = {
            'rows': rows,
            'hasMore': False,
            'ver': platform.version,
            'nowMs': time.monotonic() * 1_000,
        }
        self.answer(status, {}, json.dumps(document).encode())


def row_document(
    table: str, key: str, value: tuple[bytes, int] | None, version: int
) -> dict:
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(value[0]).decode() if value else '',
        'ver': version,
        'deleted': value is None,
    }
