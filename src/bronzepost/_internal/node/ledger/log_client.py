"""Client of the log service."""

import dataclasses
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, Final

import msgspec

from bronzepost._internal.core.ledger.journal_events import StoredRecord
from bronzepost._internal.exceptions import (
    AmbiguousAppendError,
    AnswerTooLargeError,
    ExchangeError,
    LogRefusedError,
    LogServiceError,
)
from bronzepost._internal.node.callers.http_exchange import (
    ExchangeClient,
    HttpResponse,
)
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit

DEFAULT_PAGE_RECORDS: Final = 1000
# Three further reads go from a page of 1,000 records to single ones.
PAGE_DIVISOR: Final = 10
# The delay before a retry if the log sends no Retry-After header.
DEFAULT_RETRY_DELAY_SECONDS: Final = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """Records of a stream.

    ``first_offset`` is the first offset that the log retains, ``next_offset``
    the one of the next append.
    """

    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int


class _WireRecord(msgspec.Struct, frozen=True):
    offset: int
    record: dict[str, Any]


class _Page(msgspec.Struct, frozen=True):
    records: list[_WireRecord]
    first_offset: int
    next_offset: int


class _Appended(msgspec.Struct, frozen=True):
    first_offset: int
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogClient:
    """Client of the log service at one address."""

    exchange_client: ExchangeClient

    def append_records(
        self, stream: str, records: Sequence[dict[str, Any]]
    ) -> int:
        """Append the records and return the offset of the first.

        Raises:
            LogRefusedError: if the log stored nothing.
            AmbiguousAppendError: if it may have stored the records or may
                do so later.
        """
        step = f'append to {stream}'
        body = {'records': list(records)}
        try:
            answer = self.exchange_client.exchange(
                'POST', f'/streams/{stream}/records', step=step, body=body
            )
        except ExchangeError as error:
            raise self._build_append_error(error, step) from error
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            refused = self._build_refusal(answer, step)
            emit(LogEvent.LOG_RATE_LIMITED, error=refused)
            raise refused
        if answer.status != HTTPStatus.OK:
            # A proxy may answer with an error after the log has stored them.
            raise AmbiguousAppendError(
                f'status {answer.status}: the records may have been stored',
                step=step,
                peer=self.exchange_client.address,
            )
        return msgspec.json.decode(answer.body, type=_Appended).first_offset

    def read_records(
        self, stream: str, from_offset: int, limit: int = DEFAULT_PAGE_RECORDS
    ) -> LogPage:
        """Return at most ``limit`` records, starting at an offset.

        A page that is too large is read in smaller pages: records hold answers
        of different sizes.

        Raises:
            LogServiceError: if the log does not answer or refuses.
        """
        try:
            return self._read_page(stream, from_offset, limit)
        except AnswerTooLargeError as error:
            if limit == 1:
                raise LogServiceError(
                    error.message, step=error.step, peer=error.peer
                ) from error
        smaller_limit = max(1, limit // PAGE_DIVISOR)
        return self.read_records(stream, from_offset, smaller_limit)

    def _read_page(self, stream: str, from_offset: int, limit: int) -> LogPage:
        step = f'read {stream}'
        path = f'/streams/{stream}/records?from={from_offset}&limit={limit}'
        try:
            answer = self.exchange_client.exchange('GET', path, step=step)
        except AnswerTooLargeError:
            raise
        except ExchangeError as error:
            raise LogServiceError(
                error.message, step=step, peer=self.exchange_client.address
            ) from error
        if answer.status != HTTPStatus.OK:
            raise self._build_refusal(answer, step)
        page = msgspec.json.decode(answer.body, type=_Page)
        return LogPage(
            records=tuple(
                (stored.offset, stored.record) for stored in page.records
            ),
            first_offset=page.first_offset,
            next_offset=page.next_offset,
        )

    def _build_append_error(
        self, error: ExchangeError, step: str
    ) -> LogServiceError:
        address = self.exchange_client.address
        if error.was_sent:
            return AmbiguousAppendError(error.message, step=step, peer=address)
        return LogRefusedError(
            error.message,
            step=step,
            peer=address,
            retry_after_seconds=DEFAULT_RETRY_DELAY_SECONDS,
        )

    def _build_refusal(
        self, answer: HttpResponse, step: str
    ) -> LogRefusedError:
        try:
            retry_after = float(answer.headers.get('retry-after', ''))
        except ValueError:
            retry_after = DEFAULT_RETRY_DELAY_SECONDS
        return LogRefusedError(
            f'status {answer.status}',
            step=step,
            peer=self.exchange_client.address,
            retry_after_seconds=retry_after,
        )
