"""HTTP requests by pycurl, with one set of connections a thread."""

import dataclasses
import io
import threading

import pycurl
import result

from eelgrassknot import exceptions

__all__ = ['HttpAnswer', 'request']

DEFAULT_TIMEOUT_MS = 2_000
CONNECT_TIMEOUT_MS = 1_000

_local = threading.local()


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole HTTP answer.

    Attributes:
        headers: Header values by name in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def request(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
    fresh_connection: bool = False,
) -> result.Result[HttpAnswer, exceptions.UpstreamError]:
    """Send a request and wait for the whole answer.

    Args:
        method: HTTP method.
        url: Absolute URL with an IP number as its host.
        body: Body to send, or None for no body.
        headers: Header values by name.
        timeout_ms: Bound on the whole exchange, in milliseconds.
        fresh_connection: Whether to open a new connection, which an
            intermediary cannot have lost track of.

    Returns:
        The answer, or an error that tells whether any byte of the
        request may have left this VM.
    """
    curl = _thread_curl()
    received = io.BytesIO()
    header_lines: list[bytes] = []
    configure(curl, method, url, body, headers or {})
    curl.setopt(pycurl.WRITEFUNCTION, received.write)
    curl.setopt(pycurl.HEADERFUNCTION, header_lines.append)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
    curl.setopt(pycurl.FRESH_CONNECT, int(fresh_connection))
    try:
        curl.perform()
    except pycurl.error as error:
        return result.Err(failure(curl, url, error.args[1]))
    return result.Ok(
        HttpAnswer(
            curl.getinfo(pycurl.RESPONSE_CODE),
            parse_headers(header_lines),
            received.getvalue(),
        )
    )


def configure(
    curl: pycurl.Curl,
    method: str,
    url: str,
    body: bytes | None,
    headers: dict[str, str],
) -> None:
    """Set up a handle for a request; callbacks are the caller's."""
    curl.reset()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.NOBODY, int(method == 'HEAD'))
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    lines = [f'{name}: {value}' for name, value in headers.items()]
    # Without this libcurl waits for "100 Continue" before large bodies.
    lines.append('Expect:')
    curl.setopt(pycurl.HTTPHEADER, lines)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)


def failure(
    curl: pycurl.Curl, url: str, reason: str
) -> exceptions.UpstreamError:
    """Return the typed error of a handle whose transfer failed."""
    bytes_left = curl.getinfo(pycurl.REQUEST_SIZE) > 0
    return exceptions.UpstreamError(
        f'{url}: {reason}', 'check that the address is reachable', bytes_left
    )


def parse_headers(lines: list[bytes]) -> dict[str, str]:
    """Return header values by lower-case name."""
    headers = {}
    for line in lines:
        name, separator, value = line.decode('latin-1').partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return headers


def _thread_curl() -> pycurl.Curl:
    if not hasattr(_local, 'curl'):
        _local.curl = pycurl.Curl()
    return _local.curl
