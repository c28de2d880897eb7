"""Implementations of the commands."""

import argparse
import json
import pathlib
import sys
from typing import Any

import aiohttp

from savoryhold.cli.apply import apply_service, diff_fields, read_current
from savoryhold.cli.client import AdminClient
from savoryhold.core.configuration import (
    AcceptedConfig,
    ServiceConfig,
    parse_accepted,
)
from savoryhold.core.errors import ConfigurationError
from savoryhold.core.ids import CONFIG_PREFIX
from savoryhold.declare import Service, from_toml, to_toml
from savoryhold.store import PlatformClient

__all__ = [
    'run_apply',
    'run_audit',
    'run_check',
    'run_diff',
    'run_drain',
    'run_move',
    'run_owner',
    'run_recover',
    'run_show',
    'run_status',
]

Options = argparse.Namespace
EXIT_OK = 0
EXIT_DIFFERS = 1


def _print(options: Options, fields: Any, lines: list[str]) -> None:
    if options.json:
        sys.stdout.write(json.dumps(fields, indent=2) + '\n')
        return
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _read_file(path: pathlib.Path) -> list[ServiceConfig]:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigurationError(f'{path}: {exc}') from exc
    return from_toml(text)


async def run_check(options: Options) -> int:
    """Validate a configuration file."""
    services = _read_file(options.file)
    names = [service.name for service in services]
    _print(options, {'valid': names}, [f'valid: {", ".join(names)}'])
    return EXIT_OK


async def run_diff(options: Options) -> int:
    """Show how a file differs from the configuration in force."""
    lines: list[str] = []
    async with aiohttp.ClientSession() as session:
        platform = PlatformClient(options.platform, session)
        for service in _read_file(options.file):
            current = await read_current(platform, service.name)
            old = current.accepted.service if current.accepted else None
            lines.extend(diff_fields(old, service))
    _print(options, {'differences': lines}, lines or ['no differences'])
    return EXIT_DIFFERS if lines else EXIT_OK


async def run_apply(options: Options) -> int:
    """Apply the services of a file to the store."""
    services = _read_file(options.file)
    lines: list[str] = []
    applied: list[dict[str, Any]] = []
    async with aiohttp.ClientSession() as session:
        platform = PlatformClient(options.platform, session)
        for service in services:
            base = await read_current(platform, service.name)
            _check_base(options, service, base.revision)
            done = await apply_service(platform, service, options.reason, base)
            outcome = 'accepted' if done.changed else 'unchanged'
            lines.append(f'{done.service}: revision {done.revision} {outcome}')
            applied.append(
                {
                    'service': done.service,
                    'revision': done.revision,
                    'changed': done.changed,
                }
            )
    _print(options, {'applied': applied}, lines)
    return EXIT_OK


async def run_show(options: Options) -> int:
    """Show the configuration in the store."""
    found = await _read_all_accepted(options)
    fields = {
        accepted.service.name: accepted.service.model_dump(
            mode='json', by_alias=True
        )
        for accepted in found
    }
    text = to_toml(Service(accepted.service) for accepted in found)
    _print(options, fields, [text.rstrip()])
    return EXIT_OK


async def run_audit(options: Options) -> int:
    """Show the audit trail of the configuration."""
    found = await _read_all_accepted(options)
    entries = [
        {'service': accepted.service.name, **entry.model_dump()}
        for accepted in found
        for entry in accepted.audit
    ]
    lines = [
        f'{entry["time"]} {entry["service"]} revision={entry["revision"]} '
        f'parent={entry["parent"]} author={entry["author"]} '
        f'digest={entry["digest"]} reason={entry["reason"]!r}'
        for entry in entries
    ]
    _print(options, entries, lines)
    return EXIT_OK


async def run_status(options: Options) -> int:
    """Show nodes, leases, shards and configuration revisions."""
    fields = await _get(options, 'status')
    lines = [
        f'seen by {fields["node"]} (lease {fields["lease_ms"]} ms, '
        f'{fields["held"]} shards held)',
        f'{"NODE":28} {"STATE":8} {"ZONE":14} {"SHARDS":>6} '
        f'{"OUT":>4} SERVICES STANDBY',
    ]
    lines.extend(
        f'{node["node"]:28} {node["state"]:8} {node["zone"]:14} '
        f'{node["shards"]:6} {node["outgoing"]:4} '
        f'{",".join(node["services"]) or "-"} {node["standby"] or "-"}'
        for node in fields['nodes']
    )
    lines.extend(
        f'service {name}: revision {revision} in force here'
        for name, revision in fields['revisions'].items()
    )
    _print(options, fields, lines)
    return EXIT_OK


async def run_owner(options: Options) -> int:
    """Show which node owns a key."""
    fields = await _get(
        options, 'owner', service=options.service, key=options.key
    )
    line = f'shard {fields["shard"]} epoch {fields["epoch"]}'
    _print(options, fields, [f'{fields["owner"]} {line}'])
    return EXIT_OK


async def run_drain(options: Options) -> int:
    """Make a node hand over its shards and leave the cluster."""
    return await _post(options, 'drain', node=options.node)


async def run_move(options: Options) -> int:
    """Move a shard to another node."""
    return await _post(
        options,
        'move',
        service=options.service,
        shard=options.shard,
        target=options.node,
    )


async def run_recover(options: Options) -> int:
    """Claim the record of a node that the operator declares lost."""
    return await _post(options, 'recover', node=options.node)


async def _post(options: Options, path: str, **fields: Any) -> int:
    async with aiohttp.ClientSession() as session:
        client = AdminClient(options.admin, options.token, session)
        done = await client.post(path, **fields)
    _print(options, done, [f'{name}={done[name]}' for name in done])
    return EXIT_OK


async def _get(options: Options, path: str, **query: str) -> Any:
    async with aiohttp.ClientSession() as session:
        client = AdminClient(options.admin, options.token, session)
        return await client.get(path, **query)


async def _read_all_accepted(options: Options) -> list[AcceptedConfig]:
    async with aiohttp.ClientSession() as session:
        platform = PlatformClient(options.platform, session)
        snapshot = await platform.snapshot(CONFIG_PREFIX)
    return [
        parse_accepted(found.text) for found in snapshot.objects if found.text
    ]


def _check_base(
    options: Options, service: ServiceConfig, revision: int
) -> None:
    if options.base is not None and options.base != revision:
        raise ConfigurationError(
            f'service {service.name!r}: --base is {options.base}, but '
            f'revision {revision} is in force'
        )
