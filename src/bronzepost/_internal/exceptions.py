"""Errors of bronzepost.

Each error says what failed and what to do about it, and carries the step at
which it arose and the peer that was involved, so that a log line or a refusal
can name both.
"""

import enum


class RunState(enum.StrEnum):
    """Whether a refused request ran.

    ``NOT_RUN`` is a promise: no backend server received the request.
    """

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class BronzepostError(Exception):
    """Base class of all errors of bronzepost."""

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        """Keep the step at which the error arose and the peer involved."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message followed by the step and the peer."""
        place = f'at {self.step}'
        if self.peer:
            place = f'{place}, peer {self.peer}'
        return f'{self.message} ({place})'


class SettingsError(BronzepostError):
    """A settings file or a command-line value is wrong.

    ``path`` names the setting, ``line`` counts from 1 (0 means unknown) and
    ``shown`` is the wrong value as text, with keys hidden.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        path: str = '',
        line: int = 0,
        shown: str = '',
        expected: str = '',
    ) -> None:
        """Keep the place of the wrong value and what is expected there."""
        super().__init__(message, step=step, peer=peer)
        self.path = path
        self.line = line
        self.shown = shown
        self.expected = expected


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All problems of one settings file."""


class NodeUnreachableError(BronzepostError):
    """A node does not answer the command line, or is not a node."""


class ProtocolError(BronzepostError):
    """A peer sent a message that its protocol does not allow."""


class LogServiceError(BronzepostError):
    """The log service did not answer, or refused the request."""


class AmbiguousAppendError(LogServiceError):
    """An append got no answer, so it may or may not have taken effect."""


class BackendServerError(BronzepostError):
    """A backend server did not answer, or answered with an error."""


class RefusedError(BronzepostError):
    """A request is refused, with a reason that a program can read."""

    def __init__(
        self,
        message: str,
        *,
        code: str,
        status: int,
        step: str,
        peer: str = '',
        run: RunState = RunState.NOT_RUN,
        retry_after_seconds: float | None = None,
        parameter: str = '',
    ) -> None:
        """Keep the reason, the HTTP status and the time to come back."""
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.status = status
        self.run = run
        self.retry_after_seconds = retry_after_seconds
        self.parameter = parameter


class ExchangeError(BronzepostError):
    """An HTTP exchange did not complete.

    ``was_sent`` is false only if the request cannot have reached the peer.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, was_sent: bool
    ) -> None:
        """Keep whether the request may have reached the peer."""
        super().__init__(message, step=step, peer=peer)
        self.was_sent = was_sent


class LogRefusedError(LogServiceError):
    """The log service did nothing; it may be asked again after a time."""

    def __init__(
        self, message: str, *, step: str, peer: str, retry_after_seconds: float
    ) -> None:
        """Keep the time after which to ask again, in seconds."""
        super().__init__(message, step=step, peer=peer)
        self.retry_after_seconds = retry_after_seconds
