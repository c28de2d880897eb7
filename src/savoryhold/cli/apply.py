"""Applies configuration by conditional update, and reads it back."""

import dataclasses
import datetime
import getpass
import secrets

from savoryhold.core.configuration import (
    AUDIT_ENTRIES,
    AcceptedConfig,
    AuditEntry,
    ServiceConfig,
    digest_of,
    parse_accepted,
)
from savoryhold.core.errors import (
    SavoryholdError,
    VersionConflictError,
    WriteUncertainError,
)
from savoryhold.core.ids import ServiceName, Version, config_object
from savoryhold.store import PlatformClient

__all__ = [
    'AppliedService',
    'ChangeConflictError',
    'Current',
    'apply_service',
    'diff_fields',
    'read_current',
]

CHANGE_BYTES = 8
SETTLE_TRIES = 5
FIXED_FIELDS = ('keyed', 'shards')


class ChangeConflictError(SavoryholdError):
    """Another operator's change was accepted first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """A service's configuration as the store holds it."""

    version: Version | None
    accepted: AcceptedConfig | None

    @property
    def revision(self) -> int:
        """Return the accepted revision, 0 for none."""
        return self.accepted.revision if self.accepted else 0


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedService:
    """What became of one service of an apply."""

    service: str
    revision: int
    changed: bool


async def read_current(platform: PlatformClient, service: str) -> Current:
    """Return the configuration of a service that the store holds."""
    name = config_object(ServiceName(service))
    found = await platform.read(name)
    if found.text is None:
        return Current(None, None)
    return Current(found.version, parse_accepted(found.text))


async def apply_service(
    platform: PlatformClient,
    service: ServiceConfig,
    reason: str,
    base: Current,
) -> AppliedService:
    """Put a service's configuration in force, once.

    Parameters
    ----------
    platform : PlatformClient
        The object API.
    service : ServiceConfig
        The configuration.
    reason : str
        Shown in the audit trail.
    base : Current
        The configuration that the change was based on.

    Raises
    ------
    ChangeConflictError
        If another change was accepted since `base` was read.
    PlatformError
        If the store does not say what became of the write.
    """
    if base.accepted is not None:
        if base.accepted.service == service:
            return AppliedService(service.name, base.revision, changed=False)
        _check_fixed(base.accepted.service, service)
    accepted = _accepted(service, reason, base)
    name = config_object(ServiceName(service.name))
    try:
        await platform.write(name, accepted.encode(), base.version)
    except VersionConflictError as exc:
        raise await _conflict(platform, base, service) from exc
    except WriteUncertainError:
        await _settle(platform, accepted, base)
    return AppliedService(service.name, accepted.revision, changed=True)


def diff_fields(old: ServiceConfig | None, new: ServiceConfig) -> list[str]:
    """Return one line for each field that differs."""
    after = new.model_dump(mode='json', by_alias=True)
    before = old.model_dump(mode='json', by_alias=True) if old else {}
    return [
        f'{new.name}.{field}: {before.get(field)!r} -> {after[field]!r}'
        for field in after
        if before.get(field) != after[field]
    ]


def _accepted(
    service: ServiceConfig, reason: str, base: Current
) -> AcceptedConfig:
    entry = AuditEntry(
        revision=base.revision + 1,
        parent=base.revision,
        author=getpass.getuser(),
        reason=reason,
        time=datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds'),
        digest=digest_of(service),
        change=secrets.token_hex(CHANGE_BYTES),
    )
    previous = base.accepted.audit if base.accepted else ()
    audit = (*previous, entry)[-AUDIT_ENTRIES:]
    return AcceptedConfig(
        revision=base.revision + 1, service=service, audit=audit
    )


async def _settle(
    platform: PlatformClient, accepted: AcceptedConfig, base: Current
) -> None:
    """Find out whether a write whose reply was lost took effect.

    The same conditional write is sent again: if the first one took effect
    it conflicts, and reading back shows the change's own mark.
    """
    name = config_object(ServiceName(accepted.service.name))
    text = accepted.encode()
    for _ in range(SETTLE_TRIES):
        try:
            await platform.write(name, text, base.version)
        except VersionConflictError:
            break
        except WriteUncertainError:
            continue
        return
    else:
        raise WriteUncertainError(
            f'{name}: the store does not say whether the change took effect'
        )
    current = await read_current(platform, accepted.service.name)
    change = accepted.audit[-1].change
    marks = current.accepted.audit if current.accepted else ()
    if not any(entry.change == change for entry in marks):
        raise await _conflict(platform, base, accepted.service)


async def _conflict(
    platform: PlatformClient, base: Current, service: ServiceConfig
) -> ChangeConflictError:
    current = await read_current(platform, service.name)
    lines = [
        f'service {service.name!r}: revision {current.revision} was accepted '
        f'since revision {base.revision}, on which this change was based'
    ]
    if current.accepted is not None:
        entry = current.accepted.audit[-1]
        lines.append(f'  by {entry.author} at {entry.time}: {entry.reason}')
        old = base.accepted.service if base.accepted else None
        changed = diff_fields(old, current.accepted.service)
        lines.extend(f'  {line}' for line in changed)
    return ChangeConflictError('\n'.join(lines))


def _check_fixed(old: ServiceConfig, new: ServiceConfig) -> None:
    for field in FIXED_FIELDS:
        before = getattr(old, field)
        after = getattr(new, field)
        if before != after:
            raise ChangeConflictError(
                f'services.{new.name}.{field}: {before} is fixed once the '
                f'service is in use, not {after}'
            )
