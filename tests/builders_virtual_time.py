"""Virtual time for greenlets: a timer is due once nothing else can run."""

import contextlib
import heapq
import itertools
import time
from collections.abc import Callable, Iterator
from typing import Any, Self
from unittest import mock

import gevent

# The time, a number that tells calls at the same time apart, and the callback.
_DueCall = tuple[float, int, Callable[[], None]]


class VirtualTimer:
    """A timer of gevent's loop that is due in virtual time."""

    def __init__(self, *, loop: 'VirtualLoop', seconds: float) -> None:
        """Be due ``seconds`` after the start."""
        self._loop = loop
        self._seconds = seconds
        self._due: Callable[[], None] | None = None

    def __enter__(self) -> Self:
        """Return the timer."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop the timer."""
        self.stop()

    @property
    def active(self) -> bool:
        """Return whether the timer was started and is not due yet."""
        return self._due is not None

    @property
    def pending(self) -> bool:
        """Return False: a timer that is due calls back at once."""
        return False

    def start(
        self, callback: Callable[..., object], *args: Any, **_options: Any
    ) -> None:
        """Call ``callback`` once the time has passed."""

        def fire() -> None:
            if self._due is fire:
                self._due = None
                callback(*args)

        self._due = fire
        self._loop.add(self._seconds, fire)

    def stop(self) -> None:
        """Forget the callback."""
        self._due = None

    def close(self) -> None:
        """Stop the timer."""
        self.stop()


class VirtualLoop:
    """The loop of gevent, with timers in virtual time."""

    def __init__(self, loop: Any) -> None:
        """Add virtual timers to ``loop``, at an arbitrary time."""
        self.now: float = 1000
        self._loop = loop
        self._numbers = itertools.count()
        self._due: list[_DueCall] = []

    def __getattr__(self, name: str) -> Any:
        """Return what is not virtual from the real loop."""
        return getattr(self._loop, name)

    def timer(
        self, seconds: float, *_args: Any, **_options: Any
    ) -> VirtualTimer:
        """Return a timer."""
        return VirtualTimer(loop=self, seconds=seconds)

    def add(self, seconds: float, fire: Callable[[], None]) -> None:
        """Call ``fire`` in some seconds."""
        at = self.now + max(seconds, 0)
        heapq.heappush(self._due, (at, next(self._numbers), fire))

    def advance(self) -> None:
        """Go on to the next timer; nothing else can run before it."""
        if self._due:
            at, _, fire = heapq.heappop(self._due)
            self.now = at
            fire()


@contextlib.contextmanager
def run_in_virtual_time() -> Iterator[VirtualLoop]:
    """Let timers and clocks of gateways run in virtual time.

    Greenlets that wait for a timer when it ends do not go on.
    """
    hub = gevent.get_hub()
    real = hub.loop
    virtual = VirtualLoop(real)
    idle = real.idle()
    with contextlib.ExitStack() as stack:
        stack.callback(idle.close)
        stack.callback(idle.stop)
        # The hub has no dictionary that ``mock`` could restore.
        stack.callback(setattr, hub, 'loop', real)
        hub.loop = virtual
        stack.enter_context(
            mock.patch.object(time, 'clock_gettime', lambda _: virtual.now)
        )
        idle.start(virtual.advance)
        yield virtual
