"""Fault-injecting TCP proxy with an HTTP control endpoint."""

import threading

import msgspec
import typer
from werkzeug import wrappers

from standins import proxy_loop
from standins import serving

__all__ = ['FaultProxy', 'main']


class FaultProxy:
    """Control endpoint of a proxy loop.

    ``POST /links`` opens listeners, ``POST /faults`` changes the faults of
    the links whose names contain a given text, ``POST /groups`` limits the
    rate shared by a group of links, and ``GET /links`` returns byte counts.
    """

    def __init__(self) -> None:
        self.loop = proxy_loop.ProxyLoop()
        self.application = serving.Application()
        self.application.add('POST', '/links', self.open_links)
        self.application.add('GET', '/links', self.get_links)
        self.application.add('POST', '/faults', self.set_faults)
        self.application.add('POST', '/groups', self.set_groups)

    def open_links(self, request: wrappers.Request) -> wrappers.Response:
        """Open listeners and return their addresses."""
        wanted = msgspec.json.decode(
            request.get_data(), type=list[proxy_loop.LinkRequest]
        )
        opened = self.loop.call(lambda: self.loop.open_links(wanted))
        return serving.json_answer(opened)

    def get_links(self, request: wrappers.Request) -> wrappers.Response:
        """Return the byte and connection counts of each link."""
        return serving.json_answer(self.loop.call(self.loop.summary))

    def set_faults(self, request: wrappers.Request) -> wrappers.Response:
        """Change the faults of links; omitted fields are unchanged."""
        order = msgspec.json.decode(
            request.get_data(), type=proxy_loop.FaultRequest
        )
        touched = self.loop.call(lambda: self.loop.set_faults(order))
        return serving.json_answer({'links': touched})

    def set_groups(self, request: wrappers.Request) -> wrappers.Response:
        """Set the shared rates of groups, in bits per second."""
        rates = msgspec.json.decode(request.get_data(), type=dict[str, float])
        self.loop.call(lambda: self.loop.set_rates(rates))
        return serving.json_answer({})


def main(listen: str = '127.0.0.1:0') -> None:
    """Run the proxy and its control endpoint until SIGTERM."""
    proxy = FaultProxy()
    threading.Thread(target=proxy.loop.run, daemon=True).start()
    serving.serve(proxy.application, listen)


if __name__ == '__main__':
    typer.run(main)
