"""Handlers of the operator port."""

import dataclasses
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from bronzepost._internal.core import configuration, membership
from bronzepost._internal.node.callers.refusals import refuse_old_revision
from bronzepost._internal.node.callers.web import (
    Request,
    Response,
    Route,
    build_json_response,
    refuse_parameter,
)
from bronzepost._internal.node.engines.backend_directory import BackendDirectory
from bronzepost._internal.node.ledger.journal_keeper import JournalKeeper
from bronzepost._internal.node.peers.cluster import Cluster
from bronzepost._internal.refusal_bodies import encode_refusal
from bronzepost._internal.telemetry.events import LogEvent
from bronzepost._internal.telemetry.logs import emit


class _Change(msgspec.Struct, frozen=True):
    path: str
    value: bool | int | float | str | None
    base_revision: int = 0
    author: str = ''


class OperatorApi:
    """Handles the requests of operators."""

    def __init__(
        self,
        *,
        cluster: Cluster,
        journal_keeper: JournalKeeper,
        directory: BackendDirectory,
        describe_status: Callable[[], dict[str, Any]],
        request_drain: Callable[[], None],
    ) -> None:
        """Use the components whose state operators read or change."""
        self._cluster = cluster
        self._journal_keeper = journal_keeper
        self._directory = directory
        self._describe_status = describe_status
        self._request_drain = request_drain

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
        """Return the setting at one path, or all settings."""
        path = request.query.get('path', '')
        entries = [
            msgspec.to_builtins(entry)
            for entry in configuration.list_entries(self._tables)
            if path in {'', entry.path}
        ]
        if path and not entries:
            configuration.parse_path(path)
            entries = [{'path': path, 'value': None, 'revision': 0}]
        return build_json_response({
            'entries': entries,
            'next_offset': self._tables.next_offset,
        })

    def change_tree(self, request: Request) -> Response:
        """Propose a change; respond once it has been read back from the log."""
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
            return build_json_response(body)
        refusal = refuse_old_revision(outcome)
        refusal_body = msgspec.json.decode(encode_refusal(refusal))
        return build_json_response(
            {**refusal_body, **body}, HTTPStatus.CONFLICT
        )

    def read_history(self, request: Request) -> Response:
        """Return the accepted changes of a path."""
        path = request.query.get('path', '')
        configuration.parse_path(path)
        entries = configuration.history(self._tables, path)
        return build_json_response({'entries': msgspec.to_builtins(entries)})

    def explain(self, request: Request) -> Response:
        """Return a setting's effective value and the level that sets it."""
        query = request.query
        explanation = configuration.explain(
            self._tables,
            query.get('organisation', ''),
            query.get('service', ''),
            query.get('program', ''),
            query.get('name', ''),
        )
        return build_json_response(explanation)

    def list_programs(self, request: Request) -> Response:
        """Return the programs of the partitions that this node owns."""
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
            for journal in self._journal_keeper.list_owned_journals()
            for program in journal.view.programs_by_id.values()
        ]
        return build_json_response({'programs': programs})

    def list_runners(self, request: Request) -> Response:
        """Return the backend servers that this node knows."""
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
        return build_json_response({'runners': runners})

    def list_members(self, request: Request) -> Response:
        """Return the members of the cluster that this node knows."""
        members = self._cluster.members.members_by_name.values()
        entries = [
            msgspec.to_builtins(member)
            for member in sorted(members, key=_member_name)
        ]
        return build_json_response({'members': entries})

    def read_status(self, request: Request) -> Response:
        """Return the status of this node."""
        return build_json_response(self._describe_status())

    def drain(self, request: Request) -> Response:
        """Start to drain this node."""
        emit(LogEvent.DRAIN_REQUESTED)
        self._request_drain()
        return build_json_response({'state': 'draining'})

    @property
    def _tables(self) -> configuration.ConfigurationTables:
        return self._cluster.configuration.tables


def _member_name(member: membership.Member) -> str:
    return member.name
