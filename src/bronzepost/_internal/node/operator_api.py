"""What operators can ask for: the routes of the operator port."""

import dataclasses
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from bronzepost._internal.core import configuration, membership
from bronzepost._internal.node.backend_directory import BackendDirectory
from bronzepost._internal.node.cluster import Cluster
from bronzepost._internal.node.journal_keeper import JournalKeeper
from bronzepost._internal.node.refusals import refuse_old_revision
from bronzepost._internal.node.web import (
    Request,
    Response,
    Route,
    answer_json,
    refuse_parameter,
)
from bronzepost._internal.refusal_bodies import encode_refusal
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


class _Change(msgspec.Struct, frozen=True):
    path: str
    value: bool | int | float | str | None
    base_revision: int = 0
    author: str = ''


class OperatorApi:
    """Answer operators."""

    def __init__(
        self,
        *,
        cluster: Cluster,
        keeper: JournalKeeper,
        directory: BackendDirectory,
        describe: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
    ) -> None:
        """Use the parts of the node that operators ask about."""
        self._cluster = cluster
        self._keeper = keeper
        self._directory = directory
        self._describe = describe
        self._drain = drain

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the operator port."""
        tree = '/v1/configuration'
        handlers = (
            ('GET', tree, self.read_tree),
            ('POST', tree, self.change_tree),
            ('GET', f'{tree}/history', self.read_history),
            ('GET', f'{tree}/explain', self.explain),
            ('GET', '/v1/programs', self.list_programs),
            ('GET', '/v1/runners', self.list_runners),
            ('GET', '/v1/members', self.list_members),
            ('GET', '/v1/status', self.read_status),
            ('POST', '/v1/drain', self.drain),
        )
        return tuple(
            Route(method=method, pattern=pattern, handler=handler)
            for method, pattern, handler in handlers
        )

    def read_tree(self, request: Request) -> Response:
        """Answer with the settings at one path, or with all."""
        path = request.query.get('path', '')
        entries = [
            msgspec.to_builtins(entry)
            for entry in configuration.list_entries(self._tables)
            if path in {'', entry.path}
        ]
        if path and not entries:
            configuration.parse_path(path)
            entries = [{'path': path, 'value': None, 'revision': 0}]
        return answer_json({
            'entries': entries,
            'next_offset': self._tables.next_offset,
        })

    def change_tree(self, request: Request) -> Response:
        """Propose a change; the answer comes when it has been read back."""
        try:
            change = msgspec.convert(request.json(), _Change)
        except msgspec.ValidationError as error:
            raise refuse_parameter('body', str(error)) from error
        emit(LogEvent.CHANGE_PROPOSED, path=change.path, author=change.author)
        outcome = self._cluster.configuration.propose(
            path=change.path,
            value=change.value,
            base_revision=change.base_revision,
            author=change.author,
        )
        body = {
            'accepted': isinstance(outcome, configuration.ChangeAccepted),
            **dataclasses.asdict(outcome),
        }
        if isinstance(outcome, configuration.ChangeAccepted):
            return answer_json(body)
        refusal = refuse_old_revision(outcome)
        refused = msgspec.json.decode(encode_refusal(refusal))
        return answer_json({**refused, **body}, HTTPStatus.CONFLICT)

    def read_history(self, request: Request) -> Response:
        """Answer with the accepted changes of a path."""
        path = request.query.get('path', '')
        configuration.parse_path(path)
        entries = configuration.history(self._tables, path)
        return answer_json({'entries': msgspec.to_builtins(entries)})

    def explain(self, request: Request) -> Response:
        """Answer from which level a value comes."""
        query = request.query
        explanation = configuration.explain(
            self._tables,
            query.get('organisation', ''),
            query.get('service', ''),
            query.get('program', ''),
            query.get('name', ''),
        )
        return answer_json(explanation)

    def list_programs(self, request: Request) -> Response:
        """Answer with the programs of the partitions that this node owns."""
        programs = [
            {
                'program': program.program,
                'organisation': program.organisation,
                'service': program.service,
                'state': program.ended or 'live',
                'calls': program.sequence,
                'spent': program.spent,
                'forfeited': program.forfeited,
                'carved': program.carved,
                'budget': program.budget,
            }
            for journal in self._keeper.list_owned_journals()
            for program in journal.view.programs_by_id.values()
        ]
        return answer_json({'programs': programs})

    def list_runners(self, request: Request) -> Response:
        """Answer with the runners that this node knows."""
        runners = [
            {
                'runner': server.backend_server_id,
                'service': server.service,
                'model': server.model,
                'availability_zone': server.availability_zone,
                'state': 'leaving' if server.is_leaving else 'live',
                'running': server.running,
                'waiting': server.waiting,
                'slots': server.slots,
                'cache_tokens': server.cache_tokens,
                'own_in_flight': server.own_calls_in_flight,
            }
            for server in self._directory.tables.backend_servers_by_id.values()
        ]
        return answer_json({'runners': runners})

    def list_members(self, request: Request) -> Response:
        """Answer with the nodes that this node knows."""
        members = self._cluster.members.members_by_name.values()
        shown = [
            msgspec.to_builtins(member)
            for member in sorted(members, key=_member_name)
        ]
        return answer_json({'members': shown})

    def read_status(self, request: Request) -> Response:
        """Answer with the state of this node."""
        return answer_json(self._describe())

    def drain(self, request: Request) -> Response:
        """Begin to drain the node."""
        emit(LogEvent.DRAIN_REQUESTED)
        self._drain()
        return answer_json({'state': 'draining'})

    @property
    def _tables(self) -> configuration.ConfigurationTables:
        return self._cluster.configuration.tables


def _member_name(member: membership.Member) -> str:
    return member.name
