"""Placement orders to an engine: models, adapters and roles, with fencing."""

from contextlib import closing, suppress
from typing import Any, Literal

import gevent
import msgspec
from geventhttpclient import HTTPClient

from standins.faults import Switches
from standins.web import Reply, Request, RequestError, json_reply, split_address

MAX_FETCH_ATTEMPTS = 60
RETRY_SECONDS = 1


class Order(msgspec.Struct, kw_only=True, frozen=True):
    """One order; for ``set_role``, ``name`` is the new role."""

    kind: Literal['load_model', 'load_adapter', 'set_role']
    name: str
    fencing: int
    version: str = '1'


class Loaded(msgspec.Struct, kw_only=True, frozen=True):
    """A model or adapter in one version."""

    name: str
    version: str


class OrderTable:
    """Loaded and loading models, and the highest fencing number accepted.

    A model replaces its other versions once its weights are fetched. The
    order is answered before that. A failing fetch is given up after 60
    attempts, and the order has to be sent again.
    """

    def __init__(
        self,
        *,
        switches: Switches,
        models: list[str],
        role: str,
        weight_store_address: str,
    ) -> None:
        """Start with ``models`` loaded in version 1."""
        self._switches = switches
        self._role = role
        self._weight_store_address = weight_store_address
        self._highest_fencing = 0
        self._orders: list[Order] = []
        self._loading: list[Loaded] = []
        self._loaded_by_kind: dict[str, list[Loaded]] = {
            'load_model': [Loaded(name=name, version='1') for name in models],
            'load_adapter': [],
        }

    def accept_order(self, request: Request) -> Reply:
        """Accept an order unless its fencing number is stale."""
        try:
            order = msgspec.json.decode(request.body, type=Order)
        except msgspec.MsgspecError as error:
            raise RequestError(400, f'body: {error}') from error
        if not self._switches.ignore_fencing:
            self._check_fencing(order)
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self._orders.append(order)
        if order.kind == 'set_role':
            self._role = order.name
        else:
            self._start_loading(order)
        return json_reply({'accepted': True})

    def report_state(self, request: Request) -> Reply:
        """Return the role and the loaded and loading models and adapters."""
        return json_reply({
            'models': self._loaded_by_kind['load_model'],
            'adapters': self._loaded_by_kind['load_adapter'],
            'role': self._role,
            'loading': self._loading,
        })

    def report_orders(self, request: Request) -> Reply:
        """Return all accepted orders, in order of arrival, for tests."""
        return json_reply({
            'orders': self._orders,
            'highest': self._highest_fencing,
        })

    def choose_model(self, name: str) -> str:
        """Return the model of a request; the first one is the default.

        An engine that was started without models serves any name.
        """
        loaded = [item.name for item in self._loaded_by_kind['load_model']]
        if not loaded:
            return name or 'model'
        if name and name not in loaded:
            raise RequestError(404, f'model not loaded: {name}')
        return name or loaded[0]

    def _check_fencing(self, order: Order) -> None:
        if order.fencing < self._highest_fencing:
            raise RequestError(
                409,
                'stale fencing number',
                detail={
                    'error': 'stale_fencing',
                    'highest': self._highest_fencing,
                },
            )

    def _start_loading(self, order: Order) -> None:
        requested = Loaded(name=order.name, version=order.version)
        if (
            requested in self._loading
            or requested in self._loaded_by_kind[order.kind]
        ):
            return
        self._loading.append(requested)
        gevent.spawn(self._load, order.kind, requested)

    def _load(self, kind: str, requested: Loaded) -> None:
        is_fetched = self._fetch_weights(requested.name)
        self._loading.remove(requested)
        if is_fetched:
            remaining = [
                item
                for item in self._loaded_by_kind[kind]
                if item.name != requested.name
            ]
            self._loaded_by_kind[kind] = [*remaining, requested]

    def _fetch_weights(self, name: str) -> bool:
        if not self._weight_store_address:
            return True
        for _ in range(MAX_FETCH_ATTEMPTS):
            if self._try_fetch(name):
                return True
            gevent.sleep(RETRY_SECONDS)
        return False

    def _try_fetch(self, name: str) -> bool:
        host, port = split_address(self._weight_store_address)
        client: Any = HTTPClient(host, port)
        body = msgspec.json.encode({'name': name})
        with closing(client), suppress(OSError):
            return bool(client.post('/fetch', body=body).status_code == 200)
        return False
