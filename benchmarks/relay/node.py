"""Starts a daemon with a platform and one engine for the benchmark."""

import hashlib
import http
import pathlib

import msgspec
import psutil

from benchmarks.relay import client
from eelgrassknot.coordination import config_store
from eelgrassknot.storage import http as http_storage
from standins import processes

__all__ = ['BenchmarkNode', 'KEY']

KEY = 'benchmark'
ACCOUNT = 'coral-resort'


class BenchmarkNode:
    """Processes of the benchmark, which run until ``end`` is called.

    Args:
        folder: Directory for settings and logs.
        port: First of three consecutive free ports.

    Attributes:
        callers: Address of the daemon's listener for callers.
        engine: Address of the engine.
    """

    def __init__(self, folder: pathlib.Path, port: int) -> None:
        self.folder = folder
        self.children: list[processes.Child] = []
        self.callers = f'127.0.0.1:{port}'
        self.operators = f'127.0.0.1:{port + 1}'
        self.peers = f'127.0.0.1:{port + 2}'
        try:
            self._start()
        except BaseException:
            self.end()
            raise

    def cpu_s(self) -> float:
        """Return the processor time used by the daemon, in seconds."""
        times = self.process.cpu_times()
        return times.user + times.system

    def memory_kb(self) -> float:
        """Return the resident memory of the daemon in KB."""
        return self.process.memory_info().rss / 1_024

    def end(self) -> None:
        """Stop all processes."""
        for child in self.children:
            child.kill()

    def _start(self) -> None:
        self.platform = self._standin('standins.platform')
        self.engine = self._standin('benchmarks.relay.engine')
        self._describe()
        daemon = processes.Child(
            'daemon',
            [
                'eelgrassknot.daemon',
                '--settings',
                str(self.folder / 'vm.json'),
            ],
            self.folder / 'daemon.log',
        )
        self.children.append(daemon)
        self.process = psutil.Process(daemon.process.pid)
        processes.wait_until(self._ready, 'the daemon is ready')
        processes.wait_until(self._serves, 'the daemon serves')

    def _standin(self, module: str) -> str:
        child = processes.start_standin(module, [module], self.folder)
        self.children.append(child)
        return processes.wait_listening(child)

    def _ready(self) -> bool:
        status, _ = processes.ask(self.operators, 'GET', '/readyz')
        return status == http.HTTPStatus.OK

    def _serves(self) -> bool:
        try:
            client.run_streams(self.callers, KEY, 1, 1, 0.0)
        except OSError:
            return False
        return True

    def _describe(self) -> None:
        platform = http_storage.create(f'http://{self.platform}')
        text = msgspec.json.encode(_text()).decode()
        config_store.accept(platform.table, text, 'benchmark', 'c1').unwrap()
        host, _, engine_port = self.engine.rpartition(':')
        entry = {
            'vm': 'engine-1',
            'address': host,
            'port': int(engine_port),
            'availability_zone': 'nadi-yard',
            'region': 'viti-levu',
            'kind': 'engine',
            'service': client.SERVICE,
            'state': 'live',
        }
        processes.ask(self.platform, 'PUT', '/control/vms', {'vms': [entry]})
        settings = {
            'vm': 'nadi-1',
            'availability_zone': 'nadi-yard',
            'region': 'viti-levu',
            'listen': {
                'callers': self.callers,
                'operators': self.operators,
                'peers': self.peers,
            },
            'platform': {'url': f'http://{self.platform}'},
            'cursor_keys': [{'id': 'c', 'secret': 'c' * 32}],
            'peer_keys': [{'id': 'p', 'secret': 'p' * 32}],
            'log_level': 'warning',
        }
        encoded = msgspec.json.encode(settings)
        (self.folder / 'vm.json').write_bytes(encoded)


def _text() -> dict[str, object]:
    return {
        'deployment': 'benchmark',
        'regions': [
            {'region': 'viti-levu', 'availability_zones': ['nadi-yard']}
        ],
        'services': [
            {
                'service': client.SERVICE,
                'kind': 'engine',
                'model': {'model': 'm-writeup'},
            }
        ],
        'client_accounts': [
            {
                'client_account': ACCOUNT,
                'key_sha256': hashlib.sha256(KEY.encode()).hexdigest(),
                'services': [client.SERVICE],
            }
        ],
    }
