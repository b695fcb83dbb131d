"""Stand-in of the rate-limited weight store."""

from argparse import ArgumentParser, Namespace
from collections import Counter

import gevent

from standins.faults import Switches
from standins.pacing import RateLimit
from standins.web import (
    Application,
    Reply,
    Request,
    RequestError,
    get,
    json_reply,
    post,
)


class WeightStore:
    """Transfers weights, each in a fixed time."""

    def __init__(
        self, *, rate_limit: RateLimit, transfer_seconds: float
    ) -> None:
        """Start without transfers."""
        self._rate_limit = rate_limit
        self._transfer_seconds = transfer_seconds
        self._transfers_by_name: Counter[str] = Counter()

    def fetch_weights(self, request: Request) -> Reply:
        """Answer when the transfer is complete."""
        name = request.json_object().get('name')
        if not isinstance(name, str):
            raise RequestError(400, 'name: missing')
        self._rate_limit.acquire()
        gevent.sleep(self._transfer_seconds)
        self._transfers_by_name[name] += 1
        return json_reply({'name': name})

    def report_effects(self, request: Request) -> Reply:
        """Return the number of complete transfers by name."""
        return json_reply({'by_name': self._transfers_by_name})


def add_options(parser: ArgumentParser) -> None:
    """Declare the options of this stand-in."""
    parser.add_argument('--fetches-per-second', type=float, default=2)
    parser.add_argument('--transfer-seconds', type=float, default=0.2)


def build_application(options: Namespace) -> Application:
    """Return the weight store that the options describe."""
    store = WeightStore(
        rate_limit=RateLimit(per_second=options.fetches_per_second),
        transfer_seconds=options.transfer_seconds,
    )
    return Application(
        switches=Switches(),
        routes=(
            post('/fetch', store.fetch_weights),
            get('/effects', store.report_effects, is_exempt=True),
        ),
    )
