"""Run one stand-in as a process of its own."""

import signal
import sys
from argparse import ArgumentParser
from importlib import import_module

from gevent.hub import signal as gevent_signal

from standins.web import serve_application

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
    """Return a parser of the options that all kinds share."""
    parser = ArgumentParser(prog=f'python -m standins {kind}')
    parser.add_argument('--address', default='127.0.0.1:0')
    return parser


def main(arguments: list[str]) -> int:
    """Serve the kind that the first argument names; return the exit code."""
    kind = arguments[0] if arguments else ''
    if kind not in MODULES_BY_KIND:
        kinds = ', '.join(sorted(MODULES_BY_KIND))
        print(f'name a kind of stand-in: {kinds}', file=sys.stderr)
        return 2
    module = import_module(MODULES_BY_KIND[kind])
    parser = build_parser(kind)
    module.add_options(parser)
    options = parser.parse_args(arguments[1:])
    gevent_signal(signal.SIGTERM, sys.exit, 0)
    if kind == 'relay':
        module.serve_relay(options)
    else:
        serve_application(module.build_application(options), options.address)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
