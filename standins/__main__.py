"""Run one stand-in as a separate process."""

import os
import signal
import sys
from argparse import ArgumentParser
from importlib import import_module

import gevent
from gevent.hub import signal as gevent_signal

from standins.pacing import repeat_forever
from standins.web import serve_application

PARENT_POLL_SECONDS = 0.5
MODULES_BY_KIND = {  # noqa: WPS407 - read only
    'relay': 'standins.relay',
    'log': 'standins.log',
    'engine': 'standins.engine',
    'service': 'standins.service',
    'tool': 'standins.service',
    'vm_list': 'standins.vm_list',
    'weight_store': 'standins.weight_store',
}


def build_parser(kind: str) -> ArgumentParser:
    """Return a parser with the options that all kinds share."""
    parser = ArgumentParser(prog=f'python -m standins {kind}')
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--stop-with-parent', action='store_true')
    return parser


def watch_parent() -> None:
    """End this process soon after the one that started it has ended.

    A launcher that was killed cannot stop its stand-ins itself.
    """
    parent = os.getppid()

    def exit_without_parent() -> None:  # noqa: WPS430 - keeps the parent's id
        if os.getppid() != parent:
            sys.exit(0)

    gevent.spawn(
        repeat_forever, exit_without_parent, pause_seconds=PARENT_POLL_SECONDS
    )


def main(arguments: list[str]) -> int:
    """Serve the kind named by the first argument; return the exit code."""
    kind = arguments[0] if arguments else ''
    if kind not in MODULES_BY_KIND:
        kinds = ', '.join(sorted(MODULES_BY_KIND))
        print(f'name a kind of stand-in: {kinds}', file=sys.stderr)
        return 2
    module = import_module(MODULES_BY_KIND[kind])
    parser = build_parser(kind)
    module.add_options(parser)
    options = parser.parse_args(arguments[1:])
    if options.stop_with_parent:
        watch_parent()
    gevent_signal(signal.SIGTERM, sys.exit, 0)
    if kind == 'relay':
        module.serve_relay(options)
    else:
        serve_application(module.build_application(options), options.address)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
