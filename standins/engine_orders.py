"""Orders to an engine: models, adapters and roles, with fencing numbers."""

from contextlib import closing, suppress
from typing import Any, Literal

import gevent
import msgspec
from geventhttpclient import HTTPClient

from standins.faults import Switches
from standins.web import Reply, Request, RequestError, json_reply, split_address

FETCH_ATTEMPTS = 60
RETRY_SECONDS = 1


class Order(msgspec.Struct, kw_only=True, frozen=True):
    """One order; ``name`` is the role in an order to change it."""

    kind: Literal['load_model', 'load_adapter', 'set_role']
    name: str
    fencing: int
    version: str = '1'


class Loaded(msgspec.Struct, kw_only=True, frozen=True):
    """A model or adapter in one version."""

    name: str
    version: str


class OrderTable:
    """What the engine has loaded, is loading, and the highest fencing seen.

    A model replaces its other versions once its weights are there. An order
    is answered before that; a fetch that fails is given up after 60 tries,
    and the order has to be repeated.
    """

    def __init__(
        self,
        *,
        switches: Switches,
        models: list[str],
        role: str,
        weight_store_address: str,
    ) -> None:
        """Start with models in version 1."""
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

    def take_order(self, request: Request) -> Reply:
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
        """Return what is loaded now, and what is being loaded."""
        return json_reply({
            'models': self._loaded_by_kind['load_model'],
            'adapters': self._loaded_by_kind['load_adapter'],
            'role': self._role,
            'loading': self._loading,
        })

    def report_orders(self, request: Request) -> Reply:
        """Return every accepted order in its order of arrival, for tests."""
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
        wanted = Loaded(name=order.name, version=order.version)
        if (
            wanted in self._loading
            or wanted in self._loaded_by_kind[order.kind]
        ):
            return
        self._loading.append(wanted)
        gevent.spawn(self._load, order.kind, wanted)

    def _load(self, kind: str, wanted: Loaded) -> None:
        is_fetched = self._fetch_weights(wanted.name)
        self._loading.remove(wanted)
        if is_fetched:
            others = [
                item
                for item in self._loaded_by_kind[kind]
                if item.name != wanted.name
            ]
            self._loaded_by_kind[kind] = [*others, wanted]

    def _fetch_weights(self, name: str) -> bool:
        if not self._weight_store_address:
            return True
        for _ in range(FETCH_ATTEMPTS):
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
