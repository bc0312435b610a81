"""Reads one generation's token stream from an engine."""

import collections
import re
import select

import msgspec
import pycurl

from eelgrassknot import exceptions
from eelgrassknot import http_client
from eelgrassknot.upstreams import messages

__all__ = ['EngineStream']

_OK = 200
_STATUS_LINE = re.compile(rb'HTTP/[\d.]+ (\d{3})')
_EVENT_END = b'\n\n'
_DATA = b'data: '
_DONE = b'[DONE]'
_MAX_EVENT_BYTES = 1_048_576
_EVENTS = {
    pycurl.POLL_IN: select.POLLIN,
    pycurl.POLL_OUT: select.POLLOUT,
    pycurl.POLL_INOUT: select.POLLIN | select.POLLOUT,
}
_ACTIONS = {
    select.POLLIN: pycurl.CSELECT_IN,
    select.POLLOUT: pycurl.CSELECT_OUT,
}
_BOTH = pycurl.CSELECT_IN | pycurl.CSELECT_OUT
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
        self.started = False
        self.ended = False
        self.bytes_in = 0
        self.poller = select.poll()
        self.timer_ms = 0
        self.curl = pycurl.Curl()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        http_client.configure(self.curl, method, url, body, headers)
        self.curl.setopt(pycurl.FRESH_CONNECT, 1)
        self.curl.setopt(pycurl.HEADERFUNCTION, self._take_header)
        self.curl.setopt(pycurl.WRITEFUNCTION, self._received)
        self.multi.add_handle(self.curl)
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def read(self, timeout_ms: float) -> list[messages.StreamEvent]:
        """Return the events that have come; none if the time ran out.

        Args:
            timeout_ms: How long to wait for the first event.
        """
        if not self.events and not self.ended:
            self._wait(timeout_ms)
        events = list(self.events)
        self.events.clear()
        return events

    def _wait(self, timeout_ms: float) -> None:
        # The library's own timer runs while it connects.
        if 0 <= self.timer_ms < timeout_ms:
            timeout_ms = self.timer_ms
        ready = self.poller.poll(timeout_ms)
        for descriptor, events in ready:
            self._act(descriptor, _ACTIONS.get(events, _BOTH))
        if not ready and self.timer_ms >= 0:
            self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _watch(
        self, wanted: int, descriptor: int, multi: object, data: object
    ) -> None:
        if wanted == pycurl.POLL_REMOVE:
            self.poller.unregister(descriptor)
        else:
            self.poller.register(descriptor, _EVENTS[wanted])

    def _set_timer(self, timer_ms: int) -> None:
        self.timer_ms = timer_ms

    def _act(self, descriptor: int, events: int) -> None:
        _, running = self.multi.socket_action(descriptor, events)
        if running:
            return
        _, succeeded, failed = self.multi.info_read()
        for curl in succeeded:
            self._finished(curl.getinfo(pycurl.RESPONSE_CODE))
        for curl, _, reason in failed:
            self._broke(http_client.failure(curl, self.url, reason))

    def close(self) -> None:
        """End the connection."""
        self.ended = True
        self.multi.remove_handle(self.curl)
        self.curl.close()
        self.multi.close()

    def _received(self, data: bytes) -> int | None:
        self.bytes_in += len(data)
        if not self.started:
            # The body of a refusal.
            self.buffer += data[: _MAX_EVENT_BYTES - len(self.buffer)]
            return None
        *events, self.buffer = (self.buffer + data).split(_EVENT_END)
        if len(self.buffer) > _MAX_EVENT_BYTES:
            return 0
        for event in events:
            self._take(event)
        return None

    def _take_header(self, line: bytes) -> None:
        # The library gives no status while a callback runs.
        status = _STATUS_LINE.match(line)
        if status is not None and int(status[1]) == _OK:
            self.started = True
            self.events.append(messages.AnswerStarted())

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

    def _finished(self, status: int) -> None:
        if self.ended:
            return
        self.ended = True
        if status != _OK:
            self.events.append(messages.AnswerRefused(status, self.buffer))
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
