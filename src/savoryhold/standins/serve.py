"""Entry points of the stand-ins: ``savoryhold-standin store|target``."""

import argparse
import asyncio
import logging
import os

import uvicorn

from savoryhold.standins.store import store_app
from savoryhold.standins.target import (
    TargetOptions,
    announce_forever,
    target_app,
)

__all__ = ['main']

PARENT_CHECK_INTERVAL_S = 0.5


def main() -> None:
    """Run one stand-in until it is stopped."""
    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    options = _parser().parse_args()
    asyncio.run(options.run(options))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='savoryhold-standin')
    parser.add_argument(
        '--parent', type=int, help='exit when this process does'
    )
    kinds = parser.add_subparsers(required=True)
    store = kinds.add_parser('store', help='the platform object API')
    store.add_argument('--port', type=int, required=True)
    store.set_defaults(run=_run_store)
    target = kinds.add_parser('target', help='a server that owns keys')
    target.add_argument('--port', type=int, required=True)
    target.add_argument('--service', required=True)
    target.add_argument('--companion', required=True)
    target.add_argument('--slots', type=int, default=6)
    target.add_argument('--connections', type=int, default=110)
    target.add_argument('--work-ms', type=int, default=5)
    target.add_argument('--checks-fence', action='store_true')
    target.add_argument('--journal', default='')
    target.set_defaults(run=_run_target)
    return parser


async def _run_store(options: argparse.Namespace) -> None:
    await _serve(store_app(), options)


async def _run_target(options: argparse.Namespace) -> None:
    app = target_app(
        TargetOptions(
            service=options.service,
            address=f'127.0.0.1:{options.port}',
            companion=options.companion,
            slots=options.slots,
            connections=options.connections,
            work_ms=options.work_ms,
            checks_fence=options.checks_fence,
            journal=options.journal,
        )
    )
    announcer = asyncio.create_task(announce_forever(app.state.target))
    await _serve(app, options)
    announcer.cancel()


async def _serve(app: object, options: argparse.Namespace) -> None:
    cfg = uvicorn.Config(
        app,  # type: ignore[arg-type]
        host='127.0.0.1',
        port=options.port,
        log_level='error',
        access_log=False,
        backlog=4096,
    )
    server = uvicorn.Server(cfg)
    parent_watch = asyncio.create_task(
        _exit_with_parent(options.parent, server)
    )
    await server.serve()
    parent_watch.cancel()


async def _exit_with_parent(parent: int | None, server: uvicorn.Server) -> None:
    while parent is not None:
        if os.getppid() != parent:
            server.should_exit = True
            server.force_exit = True
        await asyncio.sleep(PARENT_CHECK_INTERVAL_S)


if __name__ == '__main__':
    main()
