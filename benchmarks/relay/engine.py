"""A lightweight engine that streams tokens at a constant rate."""

import asyncio
import json

import typer

__all__ = ['SteadyEngine']

_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_DONE = b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n'
_LOAD = {
    'at_ms': 0,
    'kv_tokens_used': 0,
    'kv_tokens_total': 100_000_000,
    'running': 0,
    'waiting': 0,
    'preemptions': 0,
    'state': 'live',
    'models': [],
    'role': 'decode',
}


class SteadyEngine:
    """Answers each completion request with ``max_tokens`` tokens.

    Args:
        interval_s: Interval between tokens, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while await self._answer(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _answer(self, reader, writer) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        if lines[0].startswith('POST /v1/completions'):
            await self._stream(writer, headers, json.loads(body))
            return True
        answer = json.dumps(_LOAD).encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(answer), answer)
        )
        return True

    async def _stream(self, writer, headers, request) -> None:
        writer.write(_HEAD)
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        generation = headers.get('x-generation-id', 'none')
        last = request['max_tokens'] - 1
        for index in range(last + 1):
            token = {
                'generation': generation,
                'request_id': headers.get('x-request-id', ''),
                'index': index,
                'text': f' token{index}',
                'finish_reason': 'length' if index == last else None,
            }
            event = b'data: %b\n\n' % json.dumps(token).encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            due_s += self.interval_s
            await asyncio.sleep(due_s - loop.time())
        writer.write(_DONE)
        await writer.drain()


async def _serve(interval_s: float) -> None:
    engine = SteadyEngine(interval_s)
    server = await asyncio.start_server(
        engine.serve_connection, '127.0.0.1', 0, backlog=512
    )
    port = server.sockets[0].getsockname()[1]
    print(f'listening 127.0.0.1:{port}', flush=True)
    await server.serve_forever()


def main(interval_ms: float = 1_000 / 30) -> None:
    """Serve until the process is terminated."""
    asyncio.run(_serve(interval_ms / 1_000))


if __name__ == '__main__':
    typer.run(main)
