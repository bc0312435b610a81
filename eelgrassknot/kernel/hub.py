"""Synchronous delivery of typed events to whoever subscribed to them."""

import collections
import collections.abc
import threading
import typing

__all__ = ['Hub']

Event = typing.TypeVar('Event')


class Hub:
    """Delivers an event to the subscribers of its class, in order.

    A subscriber runs in the publisher's thread and has to be short and
    safe to call from any thread.

    Example:
        >>> hub = Hub()
        >>> hub.subscribe(int, print)
        >>> hub.publish(3)
        3
    """

    def __init__(self) -> None:
        self.handlers: dict[type, tuple] = collections.defaultdict(tuple)
        self.lock = threading.Lock()

    def subscribe(
        self,
        kind: type[Event],
        handler: collections.abc.Callable[[Event], None],
    ) -> None:
        """Have a handler called with each event of a class."""
        with self.lock:
            self.handlers[kind] = self.handlers[kind] + (handler,)

    def publish(self, event: object) -> None:
        """Call the handlers of the event's class."""
        for handler in self.handlers.get(type(event), ()):
            handler(event)
