"""Reads one generation's token stream from an engine."""

import collections
import time

import msgspec
import pycurl

from eelgrassknot import exceptions
from eelgrassknot import http_client
from eelgrassknot.upstreams import messages

__all__ = ['EngineStream']

NO_SOCKET_PAUSE_MS = 1

_OK = 200
_STATUS_LINE = b'HTTP/'
_EVENT_END = b'\n\n'
_DATA = b'data: '
_DONE = b'[DONE]'
_MAX_EVENT_BYTES = 1_048_576
_TOKEN_DECODER = msgspec.json.Decoder(messages.Token)


class EngineStream:
    """One open connection over which an engine streams tokens.

    Args:
        method: HTTP method.
        url: URL at the engine.
        body: JSON body, or None.
        headers: Header values by name.

    Call ``read`` until it returns an event that ends the stream, then
    ``close``.
    """

    def __init__(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> None:
        self.url = url
        self.events: collections.deque = collections.deque()
        self.buffer = b''
        self.status = 0
        self.started = False
        self.ended = False
        self.bytes_in = 0
        self.curl = pycurl.Curl()
        self.multi = pycurl.CurlMulti()
        http_client.configure(self.curl, method, url, body, headers)
        self.curl.setopt(pycurl.FRESH_CONNECT, 1)
        self.curl.setopt(pycurl.HEADERFUNCTION, self._header)
        self.curl.setopt(pycurl.WRITEFUNCTION, self._received)
        self.multi.add_handle(self.curl)

    def read(self, timeout_ms: float) -> list[messages.StreamEvent]:
        """Return the events that have come; none if the time ran out.

        Args:
            timeout_ms: How long to wait for the first event.
        """
        self._perform()
        if not self.events and not self.ended:
            self._wait(timeout_ms)
            self._perform()
        events = list(self.events)
        self.events.clear()
        return events

    def close(self) -> None:
        """End the connection."""
        self.ended = True
        self.multi.remove_handle(self.curl)
        self.curl.close()
        self.multi.close()

    def _wait(self, timeout_ms: float) -> None:
        # Before the connection has a socket there is nothing to select.
        if self.multi.select(timeout_ms / 1000) < 0:
            time.sleep(NO_SOCKET_PAUSE_MS / 1000)

    def _perform(self) -> None:
        if self.ended:
            return
        self.multi.perform()
        _, succeeded, failed = self.multi.info_read()
        if succeeded:
            self._finished()
        for curl, _, reason in failed:
            self._broke(http_client.failure(curl, self.url, reason))

    def _header(self, line: bytes) -> None:
        # libcurl allows no getinfo within a callback.
        if line.startswith(_STATUS_LINE):
            self.status = int(line.split()[1])

    def _received(self, data: bytes) -> int | None:
        self.bytes_in += len(data)
        if not self.started and not self._start():
            self.buffer += data
            return None
        *events, self.buffer = (self.buffer + data).split(_EVENT_END)
        if len(self.buffer) > _MAX_EVENT_BYTES:
            return 0
        for event in events:
            self._take(event)
        return None

    def _start(self) -> bool:
        if self.status != _OK:
            return False
        self.started = True
        self.events.append(messages.AnswerStarted())
        return True

    def _take(self, event: bytes) -> None:
        if not event.startswith(_DATA) or self.ended:
            return
        data = event[len(_DATA) :]
        if data == _DONE:
            self.ended = True
            self.events.append(messages.StreamDone())
            return
        try:
            self.events.append(_TOKEN_DECODER.decode(data))
        except msgspec.MsgspecError as error:
            self._broke(
                exceptions.UpstreamError(
                    f'{self.url}: unreadable event: {error}',
                    'check the version of the engine',
                    bytes_left=True,
                )
            )

    def _finished(self) -> None:
        if self.ended:
            return
        self.ended = True
        if self.status != _OK:
            refused = messages.AnswerRefused(self.status, self.buffer)
            self.events.append(refused)
            return
        self.events.append(
            messages.StreamBroken(
                exceptions.UpstreamError(
                    f'{self.url}: the stream ended early',
                    'resume the generation',
                    bytes_left=True,
                )
            )
        )

    def _broke(self, error: exceptions.UpstreamError) -> None:
        if not self.ended:
            self.ended = True
            self.events.append(messages.StreamBroken(error))
