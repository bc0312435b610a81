"""Thread-safe shell of the dispatcher."""

import concurrent.futures
import random
import threading

from eelgrassknot import ids
from eelgrassknot.kernel import events as kernel_events
from eelgrassknot.kernel import node as kernel_node
from eelgrassknot.kernel import parts
from eelgrassknot.policy import dispatcher as dispatchers
from eelgrassknot.policy import messages

__all__ = ['DispatchPart']

TICK_MS = 50.0


@parts.part('dispatch')
class DispatchPart(parts.Part):
    """Feeds events to the dispatcher and carries out its actions.

    Attributes:
        waiting: Futures of requests that have not been placed yet.
    """

    def __init__(self, node: kernel_node.Node) -> None:
        self.node = node
        self.lock = threading.Lock()
        self.waiting: dict[str, concurrent.futures.Future] = {}
        self.dispatcher = dispatchers.Dispatcher(
            node.settings.availability_zone,
            node.settings.region,
            random.Random(node.generator.random()),
        )
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._tick, daemon=True)
        node.hub.subscribe(kernel_events.UpstreamsChanged, self._upstreams)
        node.hub.subscribe(kernel_events.ConfigAdopted, self._config)

    def start(self) -> None:
        """Begin to tell the dispatcher the time."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        self.stopped.set()
        self.thread.join()

    def tell(self, event: messages.Event) -> None:
        """Tell the dispatcher an event and do what it decides."""
        with self.lock:
            actions = self.dispatcher.handle(event, self.node.clock.now_ms())
            settled = [
                (self.waiting.pop(action.request, None), action)
                for action in actions
            ]
        for future, action in settled:
            if future is not None:
                future.set_result(action)

    def submit(
        self, event: messages.RequestArrived | messages.RetryRequested
    ) -> concurrent.futures.Future:
        """Have a request placed.

        Returns:
            Future that gives the action: dispatch or refuse.
        """
        match event:
            case messages.RequestArrived(profile):
                request = profile.request
            case messages.RetryRequested(request):
                pass
        future: concurrent.futures.Future = concurrent.futures.Future()
        with self.lock:
            self.waiting[request] = future
        self.tell(event)
        return future

    def cancel(self, request: ids.RequestId) -> None:
        """Give up a request that may not have been placed yet."""
        with self.lock:
            self.waiting.pop(request, None)
        self.tell(messages.RequestCancelled(request))

    def is_offered(self, service: ids.ServiceName) -> bool:
        """Return whether all that a service depends on is available."""
        return service not in self.dispatcher.unavailable

    def _tick(self) -> None:
        while not self.stopped.wait(TICK_MS / 1000):
            self.tell(messages.Tick())

    def _upstreams(self, event: kernel_events.UpstreamsChanged) -> None:
        self.tell(messages.UpstreamsKnown(event.upstreams))

    def _config(self, event: kernel_events.ConfigAdopted) -> None:
        self.tell(messages.ConfigChanged(event.text))
