"""Entry VM in simulated time whose connections are recorded.

The daemon, its replicated tables, its placement and its drivers are the
product's own. Rows of the store and messages of peers are passed to the
replicated tables; requests that it sends to upstreams are kept as bytes.
"""

import json
import unittest.mock

import msgspec

from eelgrassknot.coordination import peer_messages as messages
from eelgrassknot import entry
from eelgrassknot.forwarding import dialect as dialects
from eelgrassknot.forwarding import loop as loops
from eelgrassknot.forwarding import peer_rows
from eelgrassknot.forwarding import row_store
from eelgrassknot.forwarding import table_watch
from eelgrassknot.kernel import registry
from eelgrassknot.policy import upstream_limits
from eelgrassknot.settings import entry as entry_settings
from standins import users_documents
from tests import entry_process
from tests import peer_world

__all__ = ['EntryWorld', 'REGIONS']

REGIONS = {'a': 'r', 'b': 'r', 'c': 'r', 'd': 'q'}
"""Region of each availability zone."""
FIRST_PORT = 9_000


class Loop(peer_world.SimulatedLoop):
    """Simulated time with timers that can be cancelled."""

    max_unsent_bytes = 0

    def call_at(self, due_ms, callback):
        timer = loops.Timer(due_ms, callback)

        def run():
            if not timer.cancelled:
                callback()

        super().call_later(due_ms - self.now_ms(), run)
        return timer

    def call_later(self, delay_ms, callback):
        return self.call_at(self.now_ms() + delay_ms, callback)


class Connection:
    """A connection that keeps what is sent on it."""

    def __init__(self, connecting):
        self.connecting = connecting
        self.closed = False
        self.send_buffer = b''
        self.data = b''

    def send(self, data):
        self.data += data

    def close(self):
        self.closed = True

    abort = close

    def pause_reading(self):
        """Do nothing."""

    resume_reading = pause_reading


class Sent:
    """One attempt at an upstream, in place of a pooled connection.

    Attributes:
        upstream: Name of the upstream.
    """

    is_new = True

    def __init__(self, upstream, connecting):
        self.upstream = upstream
        self.connection = Connection(connecting)
        self.attempt = None

    @property
    def has_left(self):
        """Whether a byte of the request has been sent."""
        return bool(self.connection.data)

    @property
    def headers(self):
        """Headers of the request that was sent."""
        lines = self.connection.data.split(b'\r\n\r\n')[0].decode()
        pairs = (line.split(': ', 1) for line in lines.split('\r\n')[1:])
        return {name.lower(): value for name, value in pairs}

    @property
    def path(self):
        return self.connection.data.split(b' ')[1].decode()

    def connect(self):
        """Establish the connection."""
        self.connection.connecting = False
        self.attempt.connection_ready()

    def receive(self, data):
        """Receive bytes from the upstream."""
        self.attempt.received(data)

    def start_answer(self, request, more=''):
        """Receive the head of a signed response in chunks."""
        self.receive(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
            f'Server-Stamp: s\r\n{more}'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )

    def send_event(self, index):
        """Receive an event of a stream."""
        event = f'id: {index}\ndata: x\n\n'.encode()
        self.receive(b'%x\r\n%s\r\n' % (len(event), event))

    def end_answer(self):
        """Receive the end of the response."""
        self.receive(b'0\r\n\r\n')

    def break_off(self):
        """End the connection without a complete response."""
        self.connection.closed = True
        self.attempt.connection_ended(OSError('reset'))


class Pool:
    """Connections to upstreams.

    Attributes:
        sent: All attempts in order.
        connects: Whether connections are established at once.
    """

    def __init__(self, loop, world):
        self.loop = loop
        self.world = world
        self.sent = []
        self.connects = True

    def acquire(self, address, require_fresh, earlier):
        sent = Sent(self.world.names[address], not self.connects)
        self.sent.append(sent)
        return sent

    def drop(self, pooled):
        pooled.connection.close()

    def release(self, pooled, keep_ms):
        """Do nothing; each attempt has a connection of its own."""

    def close_address(self, address):
        """Do nothing."""


class Exchange:
    """A caller's request and what it was answered.

    Attributes:
        status: Status of the response, or None.
    """

    def __init__(self, world, method, path, request, headers):
        named = {
            'Host': 'a.example',
            'Request-Id': request,
            'Credential': 'key-one',
            **headers,
        }
        raw = [(k.encode(), v.encode()) for k, v in named.items()]
        self.request = unittest.mock.Mock(
            method=method.encode(),
            target=path.encode(),
            raw_headers=raw,
            headers=[(name.lower(), value) for name, value in raw],
            body=b'{}',
            has_body=True,
            received_ms=world.loop.now_ms(),
        )
        self.on_abort = self.on_limit = self.on_drain = None
        self.is_congested = False
        self.is_over = False
        self.is_aborted = False
        self.status = None
        self.headers = {}
        self.body = b''

    @property
    def code(self):
        """Reason of a refusal."""
        return json.loads(self.body)['error']['code']

    def account_for(self, derived_bytes):
        """Do nothing; the world has no callers' memory."""

    def start(self, status, headers):
        self.status = status
        self.headers = {
            name.decode().lower(): value.decode('latin-1')
            for name, value in headers
        }

    def send(self, data):
        self.body += data

    def finish(self):
        self.is_over = True

    def respond(self, status, headers, body):
        self.start(status, headers)
        self.send(body)
        self.finish()

    def abort(self):
        self.is_over = self.is_aborted = True


class EntryWorld:
    """One entry VM in zone a of region r, and the rows of its store.

    Attributes:
        names: Name of the upstream at each address.
    """

    def __init__(self, **rules):
        registry.load_plugins('eelgrassknot.platform')
        ports = dict.fromkeys(entry_process.LISTENERS, 1)
        document = users_documents.entry_settings(
            'vm-1', 'a', ports, '127.0.0.1:1', REGIONS
        )
        document['rules'].update({'revoke_ms': None, **rules})
        self.loop = Loop()
        self.names = {}
        self.version = 0
        self.timeline = 0
        self.rows = {'op': {}, 'servers': {}}
        with unittest.mock.patch.object(
            loops, 'EventLoop', return_value=self.loop
        ):
            self.daemon = entry.EntryDaemon(
                msgspec.convert(document, entry_settings.EntrySettings),
                dialects.DIALECTS.lookup('users'),
            )
        self.state = self.daemon.replicated_state
        self.state.peers.broadcast = lambda message: None
        self.pool = Pool(self.loop, self)
        self.daemon.context.connections = self.pool

    # The store

    def write(self, table, key, value, is_read=True):
        """Write a row, or delete it; the VM reads the change if asked."""
        self.version += 1
        if value is None:
            self.rows[table].pop(key, None)
        else:
            self.rows[table][key] = (value, self.version)
        if not is_read:
            return
        row = row_store.StoreRow(
            key, value or b'', self.version, value is None
        )
        watermark = self.state.tables[table].replica.watermark
        if watermark is None:
            self.read_snapshot(table)
        else:
            self._read(table, (row,), watermark.version)

    def read_snapshot(self, table):
        """Have the VM read the whole table."""
        self._read(table, self._stored(table), None)

    def restore(self, table, rows):
        """Return the store to a copy with other rows, which the VM reads."""
        self.timeline += 1
        self.version = max(version for _, version in rows.values())
        self.rows[table] = dict(rows)
        self.read_snapshot(table)

    def hand_over(self, table):
        """Have a peer hand over its whole table."""
        mark = messages.TableMark(
            table, self.version, self.version, self.version, self.timeline
        )
        self.state._apply_peer_rows(
            mark, peer_rows.encode(self._stored(table)), None
        )
        self.run(0.0)

    def send_change(self, table, key):
        """Have a peer send the latest change of a row."""
        value, _ = self.rows[table].get(key, (b'', 0))
        row = row_store.StoreRow(key, value, self.version, not value)
        mark = messages.TableMark(
            table, self.version, self.version, self.version, self.timeline
        )
        self.state._receive_changes(
            'vm-2',
            messages.RowsNews(mark, peer_rows.encode((row,)), 0),
        )
        self.run(0.0)

    def _stored(self, table):
        return tuple(
            row_store.StoreRow(key, value, version, False)
            for key, (value, version) in self.rows[table].items()
        )

    def _read(self, table, rows, after):
        now_ms = self.loop.now_ms()
        page = row_store.RowPage(rows, self.version, now_ms, self.timeline)
        self.state._handle_page(
            table_watch.PageReceived(table, page, after, now_ms, now_ms, False)
        )

    def put_state(self, change=lambda document: None):
        """Accept a desired state."""
        document = users_documents.desired_state(self.version + 1)
        change(document)
        self.write('op', 'config', json.dumps(document).encode())

    def list_upstream(self, name, service, zone, state='ready'):
        """Write the entry of an upstream."""
        known = {each: address for address, each in self.names.items()}
        address = known.get(name, f'127.0.0.1:{FIRST_PORT + len(known)}')
        self.names[address] = name
        entry = {
            'service': service,
            'address': address,
            'zone': zone,
            'state': state,
            'born': 1,
            'batchSlots': 8,
        }
        self.write('servers', name, json.dumps(entry).encode())
        self.run(0.0)

    def limit(self, upstream, per_s):
        """Have an upstream state a request limit."""
        self.daemon.limits.table.update(
            upstream_limits.LimitReading(
                upstream, 1, per_s, self.loop.now_ms()
            )
        )

    # Requests

    def send(self, path, request, method='POST', **headers):
        """Send a request to the VM and return its exchange."""
        exchange = Exchange(self, method, path, request, headers)
        self.daemon.forwarder.handle(exchange)
        return exchange

    def run(self, span_ms):
        """Let time pass."""
        self.loop.run_until(self.loop.now_ms() + span_ms)

    @property
    def sent(self):
        """Attempts whose request has left, in order."""
        return [each for each in self.pool.sent if each.has_left]

    def sent_to(self, upstream):
        """Return the attempts at an upstream whose request has left."""
        return [each for each in self.sent if each.upstream == upstream]
