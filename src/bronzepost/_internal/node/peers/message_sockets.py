"""Thread limits and non-blocking reception for the pynng library."""

from typing import Any, Final

import pynng

# By default the library starts two task threads per core and more for polling
# and timers, 30 in all on 8 cores. A process exchanges only about a hundred
# messages per second, which two task threads and one poller can handle.
_TASK_THREADS: Final = 2
_THREADS_PER_OTHER_KIND: Final = 1


def limit_threads() -> None:
    """Limit the threads of the library.

    Call this before the process opens its first socket; later it has no
    effect.
    """
    for parameter, threads in (
        (pynng.lib.NNG_INIT_NUM_TASK_THREADS, _TASK_THREADS),
        (pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS, _THREADS_PER_OTHER_KIND),
        (pynng.lib.NNG_INIT_NUM_POLLER_THREADS, _THREADS_PER_OTHER_KIND),
        (pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS, _THREADS_PER_OTHER_KIND),
    ):
        pynng.lib.nng_init_set_parameter(parameter, threads)


class Receiver:
    """Receives messages from a socket without waiting.

    It calls the C function directly, because pynng's own method allocates
    memory for each call and raises an exception when the queue is empty,
    which happens at the end of each batch.
    """

    def __init__(self, socket: Any) -> None:
        """Use a pynng socket; its memory is reused for every message."""
        self._socket = socket.socket
        self._content = pynng.ffi.new('char **')
        self._size = pynng.ffi.new('size_t *')

    def receive(self) -> bytes | None:
        """Return the next message, or None if the queue is empty.

        Raises:
            NNGException: if the socket is closed or fails.
        """
        code = pynng.lib.nng_recv(
            self._socket,
            self._content,
            self._size,
            pynng.lib.NNG_FLAG_ALLOC | pynng.lib.NNG_FLAG_NONBLOCK,
        )
        if code == pynng.lib.NNG_EAGAIN:
            return None
        pynng.exceptions.check_err(code)
        address, size = self._content[0], self._size[0]
        if not size:
            # The library allocates nothing for an empty message.
            return b''
        content: bytes = pynng.ffi.unpack(address, size)
        pynng.lib.nng_free(address, size)
        return content
