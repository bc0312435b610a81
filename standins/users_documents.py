"""Documents of the users' platform: desired state and VM settings."""

__all__ = ['desired_state', 'entry_settings']


def desired_state(version: int) -> dict:
    """Return a desired state with two plain routes and a streaming one."""

    def route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            'name': name,
            'host': 'a.example',
            'prefix': f'/{name}/',
            'kind': kind,
            'timeoutMs': 5_000,
            'sloMs': 500,
            'priority': 1,
            'service': service,
            'maxAttempts': 2 if kind == 'safe' else 1,
            **more,
        }

    return {
        'version': version,
        'routes': [
            route('book', 'unsafe', 'desk'),
            route('look', 'safe', 'desk'),
            route('write', 'streaming', 'writer', resumable=False),
        ],
        'services': [
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 90},
            {
                'name': 'writer',
                'healthPath': '/health',
                'maxConns': 90,
                'engine': {
                    'batchSlots': 8,
                    'kvCapacity': 30_000,
                    'kvTokenBytes': 1_000,
                    'linkMbps': 1_000,
                    'moves': True,
                    'backups': True,
                    'stride': 4,
                    'handleS': 5.0,
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 65_536,
            'headerTimeoutMs': 1_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [{'name': 'acme', 'apiKeys': ['key-one', 'key-two']}],
    }


def entry_settings(
    vm: str,
    zone: str,
    ports: dict[str, int],
    store: str,
    regions: dict[str, str] | None = None,
) -> dict:
    """Return the settings of an entry VM on loopback.

    Args:
        vm: Name of the VM.
        zone: Its availability zone.
        ports: Ports of its listeners by name.
        store: Address of the store.
        regions: Region of each zone; by default, all are in one region.
    """
    # Zone "z" is that of the servers.
    regions = regions or {zone: 'r', 'z': 'r'}
    listen = {name: f'127.0.0.1:{port}' for name, port in ports.items()}
    return {
        'vm': vm,
        'availability_zone': zone,
        'region': regions[zone],
        'regions': regions,
        'listen': {**listen, 'store': store},
        'memory_mb': 150,
        'descriptors': 4_200,
        'heartbeat_ms': 1_200,
        'rules': {
            'drain_ms': 3_000,
            'grace_s': 8,
            'contact_ms': 4_000,
            'revoke_ms': 5_000,
            'address_reuse_s': 2,
            'retry_ratio': 0.2,
            'retry_burst': 52,
            'retry_window_s': 10,
        },
    }
