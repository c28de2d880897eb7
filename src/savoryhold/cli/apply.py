"""Configuration updates by conditional writes to the store."""

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
    'StoredConfig',
    'apply_service',
    'diff_fields',
    'read_current',
]

CHANGE_ID_BYTES = 8
RESOLVE_TRIES = 5
IMMUTABLE_FIELDS = ('keyed', 'shards')


class ChangeConflictError(SavoryholdError):
    """The change conflicts with another one or with an immutable field."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfig:
    """A service's configuration as stored; None if there is none."""

    version: Version | None
    accepted: AcceptedConfig | None

    @property
    def revision(self) -> int:
        """Return the accepted revision, 0 if there is none."""
        return self.accepted.revision if self.accepted else 0


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedService:
    """Result of applying the configuration of one service."""

    service: str
    revision: int
    changed: bool


async def read_current(platform: PlatformClient, service: str) -> StoredConfig:
    """Read the configuration of a service from the store."""
    name = config_object(ServiceName(service))
    found = await platform.read(name)
    if found.text is None:
        return StoredConfig(None, None)
    return StoredConfig(found.version, parse_accepted(found.text))


async def apply_service(
    platform: PlatformClient,
    service: ServiceConfig,
    reason: str,
    base: StoredConfig,
) -> AppliedService:
    """Store a service's configuration, as one new revision.

    Parameters
    ----------
    platform : PlatformClient
        Client of the object API.
    service : ServiceConfig
        The new configuration.
    reason : str
        Reason for the audit trail.
    base : StoredConfig
        The stored configuration that the change is based on.

    Raises
    ------
    ChangeConflictError
        If another change was accepted since `base` was read, or an
        immutable field differs.
    PlatformError
        If the outcome of the write is unknown.
    """
    if base.accepted is not None:
        if base.accepted.service == service:
            return AppliedService(service.name, base.revision, changed=False)
        _check_immutable(base.accepted.service, service)
    accepted = _build_accepted(service, reason, base)
    name = config_object(ServiceName(service.name))
    try:
        await platform.write(name, accepted.encode(), base.version)
    except VersionConflictError as exc:
        raise await _conflict_error(platform, base, service) from exc
    except WriteUncertainError:
        await _resolve_uncertain_write(platform, accepted, base)
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


def _build_accepted(
    service: ServiceConfig, reason: str, base: StoredConfig
) -> AcceptedConfig:
    entry = AuditEntry(
        revision=base.revision + 1,
        parent=base.revision,
        author=getpass.getuser(),
        reason=reason,
        time=datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds'),
        digest=digest_of(service),
        change=secrets.token_hex(CHANGE_ID_BYTES),
    )
    previous = base.accepted.audit if base.accepted else ()
    audit = (*previous, entry)[-AUDIT_ENTRIES:]
    return AcceptedConfig(
        revision=base.revision + 1, service=service, audit=audit
    )


async def _resolve_uncertain_write(
    platform: PlatformClient, accepted: AcceptedConfig, base: StoredConfig
) -> None:
    """Find out whether a write whose reply was lost took effect.

    The same conditional write is sent again.  If the first one took effect,
    the second conflicts, and the audit trail contains the id of the change.
    """
    name = config_object(ServiceName(accepted.service.name))
    text = accepted.encode()
    for _ in range(RESOLVE_TRIES):
        try:
            await platform.write(name, text, base.version)
        except VersionConflictError:
            break
        except WriteUncertainError:
            continue
        return
    else:
        raise WriteUncertainError(
            f'{name}: the change may have taken effect, see `savoryhold audit`'
        )
    current = await read_current(platform, accepted.service.name)
    change = accepted.audit[-1].change
    entries = current.accepted.audit if current.accepted else ()
    if not any(entry.change == change for entry in entries):
        raise await _conflict_error(platform, base, accepted.service)


async def _conflict_error(
    platform: PlatformClient, base: StoredConfig, service: ServiceConfig
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


def _check_immutable(old: ServiceConfig, new: ServiceConfig) -> None:
    for field in IMMUTABLE_FIELDS:
        before = getattr(old, field)
        after = getattr(new, field)
        if before != after:
            raise ChangeConflictError(
                f'services.{new.name}.{field}: is fixed at {before} once the '
                f'service is in use, cannot become {after}'
            )
