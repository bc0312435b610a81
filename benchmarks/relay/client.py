"""Reads many token streams concurrently and records token times."""

import asyncio
import json
import time

__all__ = ['SERVICE', 'StreamTimes', 'run_streams']

SERVICE = 'shop-assistant'

_DATA = b'data: {'
_READ_BYTES = 65_536


class StreamTimes:
    """Arrival times of the tokens of one stream, in seconds."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.token_s: list[float] = []

    def first_token_ms(self) -> float:
        """Return the time from the request to the first token."""
        return 1_000 * (self.token_s[0] - self.started_s)

    def gaps_ms(self) -> list[float]:
        """Return the intervals between consecutive tokens."""
        pairs = zip(self.token_s, self.token_s[1:])
        return [1_000 * (later - earlier) for earlier, later in pairs]


async def _read_stream(
    address: str, key: str, tokens: int, delay_s: float
) -> StreamTimes:
    await asyncio.sleep(delay_s)
    host, _, port = address.rpartition(':')
    body = json.dumps(
        {
            'model': SERVICE,
            'prompt': 'write up the service of buggy 7',
            'max_tokens': tokens,
            'stream': True,
        }
    ).encode()
    times = StreamTimes()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b'POST /v1/completions HTTP/1.1\r\nHost: bench\r\n'
        b'Authorization: Bearer %b\r\nContent-Type: application/json\r\n'
        b'Connection: close\r\nContent-Length: %d\r\n\r\n%b'
        % (key.encode(), len(body), body)
    )
    while len(times.token_s) < tokens:
        data = await reader.read(_READ_BYTES)
        if not data:
            raise ConnectionError(
                f'{address} ended after {len(times.token_s)} tokens'
            )
        now_s = time.monotonic()
        times.token_s += [now_s] * data.count(_DATA)
    writer.close()
    return times


async def _read_streams(
    address: str, key: str, streams: int, tokens: int, spread_s: float
) -> list[StreamTimes]:
    return await asyncio.gather(
        *(
            _read_stream(address, key, tokens, spread_s * index / streams)
            for index in range(streams)
        )
    )


def run_streams(
    address: str, key: str, streams: int, tokens: int, spread_s: float
) -> list[StreamTimes]:
    """Read streams that start one after another.

    Args:
        address: ``IP:port`` of a daemon or an engine.
        key: Key of the client account.
        streams: Number of streams.
        tokens: Length of each stream in tokens.
        spread_s: Period over which the streams start, in seconds.

    Raises:
        OSError: If a stream ends early.
    """
    return asyncio.run(_read_streams(address, key, streams, tokens, spread_s))
