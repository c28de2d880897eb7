"""Entry point of ``savoryhold``, the operators' command line."""

import argparse
import asyncio
import os
import pathlib
import sys

from savoryhold import __version__
from savoryhold.cli import commands
from savoryhold.cli.apply import ChangeConflictError
from savoryhold.cli.client import AdminError
from savoryhold.cli.explain import check_settings, run_explain
from savoryhold.core.errors import (
    ConfigurationError,
    PlatformError,
    SavoryholdError,
)

__all__ = ['main']

EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_OTHER = 5
EXIT_CODES: dict[type[SavoryholdError], int] = {
    ConfigurationError: EXIT_USAGE,
    ChangeConflictError: EXIT_CONFLICT,
    PlatformError: EXIT_UNREACHABLE,
    AdminError: EXIT_UNREACHABLE,
}
EPILOG = (
    'exit codes: 0 done, 1 differences found, 2 bad input, 3 conflict with '
    'another change, 4 store or daemon not reached, 5 other error'
)


def main(argv: list[str] | None = None) -> None:
    """Run a command and exit with its exit code."""
    options = _parser().parse_args(argv)
    try:
        code = asyncio.run(options.run(options))
    except SavoryholdError as exc:
        sys.stderr.write(f'savoryhold: {exc}\n')
        sys.exit(_exit_code(exc))
    except KeyboardInterrupt:
        sys.exit(EXIT_OTHER)
    sys.exit(code)


def _exit_code(exc: SavoryholdError) -> int:
    for kind, code in EXIT_CODES.items():
        if isinstance(exc, kind):
            return code
    return EXIT_OTHER


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='savoryhold',
        description='Operate savoryhold.',
        epilog=EPILOG,
    )
    parser.add_argument('--version', action='version', version=__version__)
    parser.add_argument(
        '--platform',
        default=os.environ.get('SAVORYHOLD_PLATFORM', 'http://127.0.0.1:7000'),
        help='URL of the object API (SAVORYHOLD_PLATFORM)',
    )
    parser.add_argument(
        '--admin',
        default=os.environ.get('SAVORYHOLD_ADMIN', 'http://127.0.0.1:7300'),
        help="URL of a daemon's admin listener (SAVORYHOLD_ADMIN)",
    )
    parser.add_argument(
        '--token',
        default=os.environ.get('SAVORYHOLD_TOKEN', ''),
        help='bearer token of the admin listener (SAVORYHOLD_TOKEN)',
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON instead of text'
    )
    subparsers = parser.add_subparsers(metavar='COMMAND', required=True)
    _add_config_commands(subparsers)
    _add_node_commands(subparsers)
    _add_mesh_commands(subparsers)
    return parser


Subparsers = argparse._SubParsersAction  # noqa: SLF001, WPS437


def _add_config_commands(
    subparsers: 'Subparsers[argparse.ArgumentParser]',
) -> None:
    check = subparsers.add_parser('check', help='check a configuration file')
    check.add_argument('file', type=pathlib.Path)
    check.set_defaults(run=commands.run_check)
    diff = subparsers.add_parser('diff', help='compare a file with the store')
    diff.add_argument('file', type=pathlib.Path)
    diff.set_defaults(run=commands.run_diff)
    apply = subparsers.add_parser('apply', help='apply a file to the store')
    apply.add_argument('file', type=pathlib.Path)
    apply.add_argument('--reason', required=True, help='for the audit trail')
    apply.add_argument(
        '--base', type=int, help='revision that the change is based on'
    )
    apply.set_defaults(run=commands.run_apply)
    show = subparsers.add_parser('show', help='print the configuration')
    show.set_defaults(run=commands.run_show)
    audit = subparsers.add_parser('audit', help='print the audit trail')
    audit.set_defaults(run=commands.run_audit)


def _add_node_commands(
    subparsers: 'Subparsers[argparse.ArgumentParser]',
) -> None:
    status = subparsers.add_parser('status', help='nodes, leases and shards')
    status.set_defaults(run=commands.run_status)
    owner = subparsers.add_parser('owner', help='which node owns a key')
    owner.add_argument('service')
    owner.add_argument('key')
    owner.set_defaults(run=commands.run_owner)
    drain = subparsers.add_parser(
        'drain', help='make a node hand over its shards and leave'
    )
    drain.add_argument('node')
    drain.set_defaults(run=commands.run_drain)
    move = subparsers.add_parser('move', help='move a shard to a node')
    move.add_argument('service')
    move.add_argument('shard', type=int)
    move.add_argument('node')
    move.set_defaults(run=commands.run_move)
    recover = subparsers.add_parser(
        'recover', help='claim the shards of a node that is certainly lost'
    )
    recover.add_argument('node')
    recover.set_defaults(run=commands.run_recover)


def _add_mesh_commands(
    subparsers: 'Subparsers[argparse.ArgumentParser]',
) -> None:
    explain = subparsers.add_parser(
        'explain',
        help="show a request's history from log lines on standard input",
        description='Reads log lines of any nodes from standard input.',
    )
    explain.add_argument('request', metavar='REQUEST-ID')
    explain.set_defaults(run=run_explain)
    settings = subparsers.add_parser(
        'check-settings', help="check a mesh node's settings file"
    )
    settings.add_argument('file', type=pathlib.Path)
    settings.set_defaults(run=check_settings)


if __name__ == '__main__':
    main()
