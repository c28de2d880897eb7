"""Grants of key ranges to the local target, renewed with its reports.

The target serves a key only while it holds a grant on it.  Each report lists
the spans that it holds; the reply lists the spans that it may hold from then
on, and for how long.

A node grants a row of the stored table only if

* it owns the row in its newest copy of the table,
* no earlier owner can still extend a grant on it: the row is settled, or
  its previous owner has confirmed the release, or `LEASE_MS` have passed
  since this node first saw the row, and
* the grant ends, even on a clock that is 2% slow, within `LEASE_MS` of the
  last time at which the stored table was proved equal to the local copy.

The last rule makes the second one safe: a node that has lost a row stops
granting it within `LEASE_MS` even if no message reaches it.
"""

import dataclasses
from collections.abc import Callable

from savoryhold.core.ids import Epoch, NodeId
from savoryhold.ranges.reports import (
    Grant,
    GrantReply,
    HeldSpan,
    ReleaseConfirmation,
    ReleasedSpan,
    Report,
    TargetLife,
)
from savoryhold.ranges.table import RangeTable, Row, Span

__all__ = ['HOLD_MS', 'LEASE_MS', 'GrantMachine']

LEASE_MS = 8000  # how long a proved copy of the table counts as current
HOLD_MS = 3000  # survives two lost reports at the usual interval
MIN_HOLD_MS = 400  # a shorter hold would expire before the next report
CLOCK_DRIFT = 1.02  # a target's clock may run 2% slow
MARGIN_MS = 100  # covers rounding and the reaction time of the target
FIRST_EPOCH = 1
FENCES_PER_EPOCH = 1024  # one fencing token per incarnation of a target
MAX_TOKENS = 64  # more would not fit into one reply


class GrantMachine:
    """State machine that decides which spans the local target may hold.

    There is one for each keyed service of a node.  It does no I/O.

    Parameters
    ----------
    node : NodeId
        This node.
    now : int
        Start time of this process, in ms.
    hold_limit_ms : int
        Maximum duration of a grant.
    """

    def __init__(
        self, node: NodeId, now: int, hold_limit_ms: int = HOLD_MS
    ) -> None:
        self.node = node
        self._hold_limit_ms = min(hold_limit_ms, LEASE_MS // 2)
        self.table: RangeTable | None = None
        # Latest time at which the own rows were proved current.
        self.proved_at = now - LEASE_MS
        # Latest known version of the stored table, and when it was read.
        self.proof = (0, now - LEASE_MS)
        # Oldest version since which the own rows have not changed.
        self._rows_same_since = 0
        self.life: TargetLife | None = None
        # Spans that are being handed over, and the nodes that take them.
        self.handovers: dict[Span, NodeId] = {}
        self.held: tuple[HeldSpan, ...] = ()
        # Grants of an earlier process of this node end by then.
        self.hold_until = (
            now + round(self._hold_limit_ms * CLOCK_DRIFT) + MARGIN_MS
        )
        # The same, unless the target's process is known to have ended.
        self._earlier_until = self.hold_until
        # Reports of the present incarnation to this process.
        self._report_count = 0
        # An earlier incarnation of the target may hold keys until then.
        self._former_until = 0
        self.no_target = False
        # Number of the target's incarnation, as contained in fencing tokens.
        self._life_number = 0
        # Held spans in the first report, granted by an earlier process.
        self._adopted: tuple[HeldSpan, ...] = ()
        self._grantable: list[tuple[Span, Epoch]] = []
        # When this node first saw each of its own rows, in ms.
        self._first_seen: dict[Row, int] = {}
        # Own rows that an earlier process of this node may have granted.
        self._inherited: set[Row] = set()
        self._started_at = now
        # Version that was stored after the start: rows that are gained later
        # are new to this node's processes, too.
        self._version_at_start: int | None = None
        self._own_releases: list[ReleasedSpan] = []
        self._received_releases: list[ReleasedSpan] = []
        self._granted: list[Span] = []
        # Spans in handover that the last reply left out.
        self._withheld: set[Span] = set()

    def learn(
        self, table: RangeTable, now: int, *, fresh: bool = False
    ) -> None:
        """Replace the local copy of the table with a newer one.

        Parameters
        ----------
        table : RangeTable
            The new copy; ignored unless its version is higher.
        now : int
            Time in ms.
        fresh : bool
            Whether this process was running when the table was created, so
            that no earlier process has granted rows of its first epoch.
        """
        first = self.table is None
        if self.table is not None and table.version <= self.table.version:
            return
        mine = table.rows_of(self.node)
        if first or set(mine) != set(self._first_seen):
            self._rows_same_since = table.version
        may_inherit = not self._knows_start()
        self.table = table
        if may_inherit:
            self._inherited.update(
                row
                for row in mine
                if row not in self._first_seen
                and (not fresh or row.epoch > FIRST_EPOCH)
            )
        self._first_seen = {row: self._first_seen_at(row, now) for row in mine}
        if may_inherit:
            self._mark_adopted_grantable()
        epochs = {row.epoch for row in mine}
        self._grantable = [
            entry for entry in self._grantable if entry[1] in epochs
        ]
        self.handovers = {
            span: taker
            for span, taker in self.handovers.items()
            if any(row.span.contains(span) for row in mine)
        }
        for row in mine:
            if row.settled and row not in self._inherited:
                self._mark_grantable(row.span, row.epoch)

    def record_proof(self, version: int, at: int) -> None:
        """Record that the stored table had a version at a time in ms.

        Notes
        -----
        An older version than the copy is valid proof as long as the own rows
        are the same in both: a row that was lost and regained in between
        would have a higher epoch.
        """
        if at > self.proof[1]:
            self.proof = (version, at)
        if self._version_at_start is None and at >= self._started_at:
            self._version_at_start = version
        if self.table is None:
            return
        if self._rows_same_since <= version <= self.table.version:
            self.proved_at = max(self.proved_at, at)

    def _knows_start(self) -> bool:
        """Return whether the copy holds all rows of the earlier process.

        Notes
        -----
        A copy of a peer may be older than what the earlier process has seen.
        """
        if self.table is None or self._version_at_start is None:
            return False
        return self.table.version >= self._version_at_start

    def apply_confirmation(self, confirmation: ReleaseConfirmation) -> None:
        """Make rows grantable whose previous owner has confirmed the release.

        Notes
        -----
        An inherited row needs a new epoch regardless of confirmations.
        """
        for row in self._first_seen:
            if row in self._inherited:
                continue
            if row.epoch == confirmation.epoch and confirmation.span.contains(
                row.span
            ):
                self._mark_grantable(row.span, row.epoch)
                self._received_releases.extend(confirmation.releases)
        del self._received_releases[:-MAX_TOKENS]

    def waiting_rows(self, now: int) -> list[Row]:
        """Return own rows on which an earlier owner may still extend grants."""
        self._expire_waits(now)
        return [row for row in self._first_seen if not self.is_grantable(row)]

    def has_pending_work(self, now: int) -> bool:
        """Return whether any row awaits a target, a confirmation or a write."""
        return bool(
            self.handovers or self.waiting_rows(now) or self.stale_rows()
        )

    def unsettled_rows(self) -> list[Row]:
        """Return own rows that may be granted but are not stored as settled."""
        return [
            row
            for row in self._first_seen
            if not row.settled and self.is_grantable(row)
        ]

    def grantable_rows(self) -> list[Row]:
        """Return own rows that may be granted and are not being handed over."""
        return [
            row
            for row in self._first_seen
            if self.is_grantable(row)
            and not any(span.overlaps(row.span) for span in self.handovers)
        ]

    def free_spans(self) -> list[Span]:
        """Return the parts of grantable rows outside pending handovers."""
        parts = [row.span for row in self._first_seen if self.is_grantable(row)]
        for span in self.handovers:
            parts = [rest for part in parts for rest in part.without(span)]
        return parts

    def mergeable_spans(self) -> list[Span]:
        """Return spans of adjacent own rows that could be merged."""
        runs: list[list[Row]] = []
        for row in sorted(self.grantable_rows()):
            last = runs[-1][-1] if runs else None
            if last is not None and last.span.last + 1 == row.span.first:
                runs[-1].append(row)
            else:
                runs.append([row])
        return [
            Span(run[0].span.first, run[-1].span.last)
            for run in runs
            if len(run) > 1
        ]

    def mark_no_target(self) -> None:
        """Record that this node has no local target of the service.

        Notes
        -----
        A process that the node has heard of may still run, so that its grants
        end by time only.
        """
        self.no_target = True

    def stale_rows(self) -> list[Row]:
        """Return own rows that need a new epoch before they are granted.

        Notes
        -----
        An earlier process of this node may have granted them to an earlier
        incarnation of the target, with fencing tokens that are not known to
        this process.
        """
        if self.life is None:
            return []
        return [
            dataclasses.replace(row, span=part)
            for row in self._first_seen
            if row in self._inherited
            for part in self._parts_not_grantable(row)
        ]

    def is_grantable(self, row: Row) -> bool:
        """Return whether this node may grant all keys of a row it owns."""
        return not self._parts_not_grantable(row)

    def _parts_not_grantable(self, row: Row) -> list[Span]:
        parts = [row.span]
        for span, epoch in self._grantable:
            if epoch != row.epoch:
                continue
            parts = [rest for part in parts for rest in part.without(span)]
        return parts

    def on_report(
        self, report: Report, now: int, *, former_ended: bool = False
    ) -> GrantReply | None:
        """Record a report and return the reply to it.

        Returns
        -------
        GrantReply or None
            None if nothing may be granted or extended at present.
        """
        self.record_report(report, former_ended=former_ended)
        return self.reply(now)

    def record_report(
        self, report: Report, *, former_ended: bool = False
    ) -> None:
        """Record which spans the target holds and has released.

        Parameters
        ----------
        report : Report
            The target's report.
        former_ended : bool
            Whether the incarnation that reported before is known to have
            ended, if this is another one.
        """
        self.no_target = False
        self._update_life(report, former_ended=former_ended)
        self._report_count += 1
        self.held = report.held
        self._own_releases.extend(report.released)
        del self._own_releases[:-MAX_TOKENS]

    def can_reply(self, now: int) -> bool:
        """Return whether a reply now grants all that a brief delay would."""
        proved = self.table is not None and self.hold_ms(now) >= MIN_HOLD_MS
        return proved and not self.stale_rows()

    def reply(self, now: int) -> GrantReply | None:
        """Return the grants that answer the last report, if any are allowed."""
        self._expire_waits(now)
        hold = self.hold_ms(now)
        if self.table is None or hold < MIN_HOLD_MS:
            return None
        if now < self._former_until:
            return None
        grants = self._grants()
        self._granted = [grant.span for grant in grants]
        self._withheld = set(self.handovers)
        self.hold_until = max(self.hold_until, now + round(hold * CLOCK_DRIFT))
        return GrantReply(tuple(grants), hold)

    def hold_ms(self, now: int) -> int:
        """Return for how long grants that are made now may last."""
        remaining_ms = self.proved_at + LEASE_MS - now - MARGIN_MS
        return min(self._hold_limit_ms, int(remaining_ms / CLOCK_DRIFT))

    def drop_holds(self) -> None:
        """Drop all holds, as the target's process is known to have ended."""
        self.held = ()
        self._granted = []
        self.hold_until = 0
        self._earlier_until = 0
        self._withheld = set(self.handovers)

    def may_send(self, key: int, now: int) -> bool:
        """Return whether the target is known to hold a key for now."""
        if now >= self.hold_until - MARGIN_MS:
            return False
        return any(span.first <= key <= span.last for span in self._granted)

    def max_grant_wait_ms(self, key: int, now: int) -> int:
        """Return after how many ms at most a key of this node is grantable."""
        for row, first_seen in self._first_seen.items():
            if row.span.first <= key <= row.span.last:
                if self.is_grantable(row) or row in self._inherited:
                    return 0
                return max(0, first_seen + LEASE_MS - now)
        return 0

    def start_handover(self, span: Span, taker: NodeId) -> bool:
        """Start to hand a span over; return whether that is possible.

        Notes
        -----
        The span must lie in one row that this node may grant, outside all
        pending handovers.
        """
        busy = any(other.overlaps(span) for other in self.handovers)
        if busy or taker == self.node:
            return False
        for row in self._first_seen:
            if row.span.contains(span) and self.is_grantable(row):
                self.handovers[span] = taker
                return True
        return False

    def is_in_handover(self, key: int) -> bool:
        """Return whether a key is in a pending handover."""
        return any(span.first <= key <= span.last for span in self.handovers)

    def completed_handovers(self, now: int) -> dict[Span, NodeId]:
        """Return spans in handover that the target no longer holds.

        Returns
        -------
        dict
            Maps each span to the node that takes it over.
        """
        return {
            span: taker
            for span, taker in self.handovers.items()
            if now >= self.hold_until
            or (
                span in self._withheld
                and self._knows_holds(now)
                and not self._may_hold(span)
            )
        }

    def retain_handovers(self, is_eligible: Callable[[NodeId], bool]) -> None:
        """Cancel handovers to nodes that are not eligible."""
        self.handovers = {
            span: taker
            for span, taker in self.handovers.items()
            if is_eligible(taker)
        }

    def release_confirmation(
        self, span: Span, epoch: Epoch, now: int
    ) -> ReleaseConfirmation | None:
        """Return the confirmation that a former row is released, if it is.

        Notes
        -----
        The target must have reported to this process, so that grants of an
        earlier process of this node are known, too.
        """
        if self.table is None or not self._knows_holds(now):
            return None
        rows = list(self.table.overlapping(span))
        if any(row.owner == self.node or row.epoch < epoch for row in rows):
            return None
        if now < self._former_until:
            return None
        if now < self.hold_until and self._may_hold(span):
            return None
        releases = [
            release
            for release in self._own_releases
            if release.span.overlaps(span)
        ]
        return ReleaseConfirmation(span, epoch, tuple(releases))

    def _knows_holds(self, now: int) -> bool:
        """Return whether the reports show all that the target may hold.

        Notes
        -----
        A single first report may be a late one of an incarnation that has
        ended, while another one holds what the earlier process granted.
        """
        if self.no_target:
            return True
        if self.life is None:
            return False
        return self._report_count > 1 or now >= self._earlier_until

    def _may_hold(self, span: Span) -> bool:
        held = any(other.span.overlaps(span) for other in self.held)
        return held or any(other.overlaps(span) for other in self._granted)

    def _first_seen_at(self, row: Row, now: int) -> int:
        # A row that was split off a longer one inherits its time.
        for other, first_seen in self._first_seen.items():
            if other.epoch == row.epoch and other.span.contains(row.span):
                if other in self._inherited:
                    self._inherited.add(row)
                return first_seen
        return now

    def _update_life(self, report: Report, *, former_ended: bool) -> None:
        if self.life == report.life:
            return
        if self.life is None:
            self._adopt(report)
        else:
            self._report_count = 0
            self._life_number += 1
            self._forget_adopted()
            if former_ended:
                self.drop_holds()
            else:
                self._outwait_former()
        self.life = report.life

    def _outwait_former(self) -> None:
        """Grant nothing until all grants of the former incarnation end.

        Notes
        -----
        A report of another incarnation does not show that the former one has
        ended: it may be of another writer.
        """
        self._former_until = self.hold_until
        self._granted = []
        self._withheld = set()

    def _adopt(self, report: Report) -> None:
        """Adopt the grants that the previous process of this node made."""
        for held in report.held:
            self._life_number = max(
                self._life_number, held.fence % FENCES_PER_EPOCH
            )
        self._adopted = report.held
        self._mark_adopted_grantable()

    def _forget_adopted(self) -> None:
        """Grant the rows of an earlier process under a new epoch only.

        Notes
        -----
        The adopted incarnation may not have been the last one that the earlier
        process knew, as its report may have been delayed.  Fencing tokens that
        follow from its own may therefore be in use.
        """
        self._adopted = ()
        self._grantable = [
            (span, epoch)
            for span, epoch in self._grantable
            if not any(
                row.epoch == epoch and row.span.overlaps(span)
                for row in self._inherited
            )
        ]

    def _mark_adopted_grantable(self) -> None:
        for held in self._adopted:
            epoch = held.fence // FENCES_PER_EPOCH
            for row in self._inherited:
                if row.epoch == epoch and held.span.overlaps(row.span):
                    # A claim with the same epoch may have made the row longer.
                    whole = row.settled or held.span.contains(row.span)
                    span = row.span.intersection(held.span)
                    self._mark_grantable(row.span if whole else span, row.epoch)

    def _expire_waits(self, now: int) -> None:
        for row, first_seen in self._first_seen.items():
            lease_expired = now - first_seen >= LEASE_MS
            if lease_expired and row not in self._inherited:
                self._mark_grantable(row.span, row.epoch)

    def _mark_grantable(self, span: Span, epoch: Epoch) -> None:
        if (span, epoch) not in self._grantable:
            self._grantable.append((span, epoch))

    def _grants(self) -> list[Grant]:
        found = []
        for row in self._first_seen:
            parts = [row.span]
            for span in (*self._parts_not_grantable(row), *self.handovers):
                parts = [rest for part in parts for rest in part.without(span)]
            fence = row.epoch * FENCES_PER_EPOCH + self._life_number
            for part in parts:
                found.extend(self._with_tokens(part, fence))
        return found

    def _with_tokens(self, span: Span, fence: int) -> list[Grant]:
        """Return grants of a span, split where handover tokens apply."""
        if any(other.span.contains(span) for other in self.held):
            return [Grant(span, fence, '')]
        found = []
        parts = [span]
        for release in reversed(self._received_releases):
            for part in list(parts):
                if not part.overlaps(release.span):
                    continue
                parts.remove(part)
                parts.extend(part.without(release.span))
                shared = part.intersection(release.span)
                found.append(Grant(shared, fence, release.token))
        found.extend(Grant(rest, fence, '') for rest in parts)
        return sorted(found, key=lambda grant: grant.span)
