"""Selection of the route and the service of a request.

A state spells hosts and prefixes in Unicode. They are compared in a normal
form: hosts with lowercase ASCII letters, and prefixes as callers have to send
them, percent-encoded.

References:
    RFC 3986, "Uniform Resource Identifier (URI): Generic Syntax", section
    6.2.2 (case and percent-encoding normalization).
    RFC 3987, "Internationalized Resource Identifiers (IRIs)", section 3.1.
"""

import collections
import random
import re
import string
import urllib.parse

from eelgrassknot.forwarding import model
from eelgrassknot import ids

__all__ = ['RouteTable', 'choose_service', 'normalize_host', 'normalize_path']

# Printable ASCII characters but the percent sign.
_NORMAL_PATH = re.compile('[!-$&-~]*')
_UPPERCASE_LETTERS = re.compile('[A-Z]+')
_PERCENT_ENCODED = re.compile('%[0-9a-fA-F]{2}')
_SENT_AS_THEY_ARE = string.ascii_letters + string.digits + string.punctuation


class RouteTable:
    """Routes by host, ordered by descending prefix length.

    Args:
        routes: All routes of a state, with hosts and prefixes in their
            normal form.
    """

    def __init__(self, routes: tuple[model.Route, ...]) -> None:
        self.hosts: dict[str, list[model.Route]] = collections.defaultdict(
            list
        )
        for route in routes:
            self.hosts[route.host].append(route)
        for found in self.hosts.values():
            found.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, target: str) -> model.Route | None:
        """Return the matching route with the longest prefix, or None.

        Args:
            host: The Host header; its port is ignored.
            target: Path and query.
        """
        name = host.rsplit(':', 1)[0] if ':' in host else host
        path = normalize_path(target.split('?', 1)[0])
        for route in self.hosts.get(normalize_host(name), ()):
            if path.startswith(route.prefix):
                return route
        return None


def normalize_host(host: str) -> str:
    """Return a host with lowercase ASCII letters.

    Args:
        host: A host of a state or of a request, without its port.

    Example:
        >>> normalize_host('Ärger.Example')
        'Ärger.example'
    """
    return _UPPERCASE_LETTERS.sub(lambda found: found[0].lower(), host)


def normalize_path(path: str) -> str:
    """Return a path as callers send it, with uppercase percent-encoding.

    Args:
        path: A prefix of a state, or the path of a request.

    Example:
        >>> normalize_path('/é/'), normalize_path('/%c3%a9/')
        ('/%C3%A9/', '/%C3%A9/')
    """
    if _NORMAL_PATH.fullmatch(path):
        return path
    sent = urllib.parse.quote(path, safe=_SENT_AS_THEY_ARE)
    return _PERCENT_ENCODED.sub(lambda found: found[0].upper(), sent)


def choose_service(
    route: model.Route, generator: random.Random
) -> ids.ServiceName | None:
    """Choose the service for a request at random, by the route's weights."""
    if not route.shares:
        return None
    weights = [share.weight for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return generator.choices(route.shares, weights)[0].service
