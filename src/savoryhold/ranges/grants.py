"""Grants of key ranges to the local target, taken with its reports.

The target runs a key only while it holds it.  Each report brings what it
holds; the reply says what it is to hold from then on, and for how long.

A node grants a row of the stored table only if

* it owns the row in its newest copy of the table,
* no earlier owner can still extend a grant on it: the row is settled, or
  its previous owner has confirmed the release, or `LEASE_MS` have passed
  since this node first saw the row, and
* the grant ends, on a clock that is 2% slow, before `LEASE_MS` after a moment
  at which the stored table was known to be the copy that is acted on.

The last rule makes the second one safe: whoever lost a row stops within
`LEASE_MS` without a message from anybody.
"""

from collections.abc import Callable

from savoryhold.core.ids import Epoch, NodeId
from savoryhold.ranges.reports import (
    ReleaseConfirmation,
    Grant,
    GrantReply,
    HeldSpan,
    ReleasedSpan,
    Report,
    TargetLife,
)
from savoryhold.ranges.table import RangeTable, Row, Span

__all__ = ['HOLD_MS', 'LEASE_MS', 'GrantMachine']

LEASE_MS = 8000  # a copy of the table counts as current for this long
HOLD_MS = 3000  # outlives two lost reports at the usual interval
MIN_HOLD_MS = 400  # a shorter hold would lapse before the next report
CLOCK_SLACK = 1.02  # a target's clock may run 2% slow
MARGIN_MS = 100  # rounding and the target's own delay
FIRST_EPOCH = 1
LIFE_FACTOR = 1024  # fencing tokens left for lives of a target in an epoch
TOKENS_KEPT = 64  # more would not fit one reply


class GrantMachine:
    """Decides what the local target of one service holds.

    Parameters
    ----------
    node : NodeId
        This node.
    now : int
        Time of the start, in ms.
    hold_limit_ms : int
        Longest hold that a target may be given.
    """

    def __init__(
        self, node: NodeId, now: int, hold_limit_ms: int = HOLD_MS
    ) -> None:
        self.node = node
        self._hold_limit_ms = min(hold_limit_ms, LEASE_MS // 2)
        self.table: RangeTable | None = None
        self.proved_at = now - LEASE_MS
        self.proof = (0, now - LEASE_MS)
        self._same_since = 0
        self.life: TargetLife | None = None
        self.leaving: dict[Span, NodeId] = {}
        self.held: tuple[HeldSpan, ...] = ()
        # An earlier life of this process may have granted until then.
        self.hold_until = (
            now + round(self._hold_limit_ms * CLOCK_SLACK) + MARGIN_MS
        )
        self.retired = False
        self._lives = 0
        self._adopted: tuple[HeldSpan, ...] = ()
        self._cleared: list[tuple[Span, Epoch]] = []
        self._seen_at: dict[Row, int] = {}
        self._inherited: set[Row] = set()
        self._tokens: list[ReleasedSpan] = []
        self._received: list[ReleasedSpan] = []
        self._granted: list[Span] = []
        self._dropped: set[Span] = set()

    def learn(
        self, table: RangeTable, now: int, *, fresh: bool = False
    ) -> None:
        """Take in a newer copy of the table.

        Parameters
        ----------
        table : RangeTable
            The copy.
        now : int
            Time in ms.
        fresh : bool
            Whether the table was created in this life of the process, so
            that no earlier life has granted rows of its first epoch.
        """
        first = self.table is None
        if self.table is not None and table.version <= self.table.version:
            return
        mine = table.rows_of(self.node)
        if first or set(mine) != set(self._seen_at):
            self._same_since = table.version
        self.table = table
        if first:
            self._inherited = {
                row for row in mine if not fresh or row.epoch > FIRST_EPOCH
            }
        self._seen_at = {row: self._sighting(row, now) for row in mine}
        if first:
            self._clear_adopted()
        epochs = {row.epoch for row in mine}
        self._cleared = [known for known in self._cleared if known[1] in epochs]
        self.leaving = {
            span: to
            for span, to in self.leaving.items()
            if any(row.span.contains(span) for row in mine)
        }
        for row in mine:
            if row.settled and row not in self._inherited:
                self._clear(row.span, row.epoch)

    def record_proof(self, version: int, at: int) -> None:
        """Note that the stored table had a version at a moment, in ms.

        Notes
        -----
        An earlier version counts as long as the own rows are the same: a row
        that had gone and come back would have a higher epoch.
        """
        if at > self.proof[1]:
            self.proof = (version, at)
        if self.table is None:
            return
        if self._same_since <= version <= self.table.version:
            self.proved_at = max(self.proved_at, at)

    def apply_confirmation(self, word: ReleaseConfirmation) -> None:
        """Take in the previous owner's word on a row.

        Notes
        -----
        An inherited row needs a new epoch, whatever its last owner says.
        """
        for row in self._seen_at:
            if row in self._inherited:
                continue
            if row.epoch == word.epoch and word.span.contains(row.span):
                self._clear(row.span, row.epoch)
                self._received.extend(word.releases)
        del self._received[:-TOKENS_KEPT]

    def waiting(self, now: int) -> list[Row]:
        """Return own rows that an earlier owner may still hold."""
        self._settle(now)
        return [row for row in self._seen_at if not self.is_clear(row)]

    def has_pending_work(self, now: int) -> bool:
        """Return whether rows or spans wait for a target, word or write."""
        return bool(self.leaving or self.waiting(now) or self.stale())

    def unsettled(self) -> list[Row]:
        """Return own rows that may be granted but are not marked so."""
        return [
            row
            for row in self._seen_at
            if not row.settled and self.is_clear(row)
        ]

    def grantable_rows(self) -> list[Row]:
        """Return own rows that may be granted and are not given away."""
        return [
            row
            for row in self._seen_at
            if self.is_clear(row)
            and not any(span.overlaps(row.span) for span in self.leaving)
        ]

    def mergeable(self) -> list[Span]:
        """Return runs of own rows that could be one row each."""
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
        """Note that no target of the service runs beside this node."""
        self.target_lost()
        self.retired = True

    def stale(self) -> list[Row]:
        """Return own rows that need a new epoch before they are granted.

        Notes
        -----
        An earlier life of this process may have granted them to an earlier
        life of the target, with tokens that this life does not know.
        """
        if self.life is None:
            return []
        return [
            row
            for row in self._seen_at
            if row in self._inherited and not self.is_clear(row)
        ]

    def is_clear(self, row: Row) -> bool:
        """Return whether this node may grant all keys of an own row."""
        parts = [row.span]
        for span, epoch in self._cleared:
            if epoch != row.epoch:
                continue
            parts = [left for part in parts for left in part.without(span)]
        return not parts

    def on_report(self, report: Report, now: int) -> GrantReply | None:
        """Take in a report and return what the target is to hold.

        Returns
        -------
        GrantReply or None
            None if nothing may be granted or extended now.
        """
        self.record_report(report)
        return self.reply(now)

    def record_report(self, report: Report) -> None:
        """Take in a report."""
        self.retired = False
        self._note_life(report)
        self.held = report.held
        self._tokens.extend(report.released)
        del self._tokens[:-TOKENS_KEPT]

    def can_reply(self, now: int) -> bool:
        """Return whether all that may soon be granted can be granted now."""
        proved = self.table is not None and self.hold_ms(now) >= MIN_HOLD_MS
        return proved and not self.stale()

    def reply(self, now: int) -> GrantReply | None:
        """Return what the target is to hold, counted from its last report."""
        self._settle(now)
        hold = self.hold_ms(now)
        if self.table is None or hold < MIN_HOLD_MS:
            return None
        grants = self._grants()
        self._granted = [grant.span for grant in grants]
        self._dropped = set(self.leaving)
        self.hold_until = max(self.hold_until, now + round(hold * CLOCK_SLACK))
        return GrantReply(tuple(grants), hold)

    def hold_ms(self, now: int) -> int:
        """Return for how long the target may hold its keys from now on."""
        left = self.proved_at + LEASE_MS - now - MARGIN_MS
        return min(self._hold_limit_ms, int(left / CLOCK_SLACK))

    def target_lost(self) -> None:
        """Note that the target's process is known to have ended."""
        self.held = ()
        self._granted = []
        self.hold_until = 0
        self._dropped = set(self.leaving)

    def may_send(self, key: int, now: int) -> bool:
        """Return whether the target holds a key, as far as is known."""
        if now >= self.hold_until - MARGIN_MS:
            return False
        return any(span.first <= key <= span.last for span in self._granted)

    def max_grant_wait_ms(self, key: int, now: int) -> int:
        """Return in how many ms an own key may be granted at the latest."""
        for row, seen_at in self._seen_at.items():
            if row.span.first <= key <= row.span.last:
                if self.is_clear(row) or row in self._inherited:
                    return 0
                return max(0, seen_at + LEASE_MS - now)
        return 0

    def start_handover(self, span: Span, to: NodeId) -> bool:
        """Begin to give a span away; return whether that is possible.

        Notes
        -----
        The span must lie in one row that this node may grant.
        """
        busy = any(known.overlaps(span) for known in self.leaving)
        if busy or to == self.node:
            return False
        for row in self._seen_at:
            if row.span.contains(span) and self.is_clear(row):
                self.leaving[span] = to
                return True
        return False

    def is_in_handover(self, key: int) -> bool:
        """Return whether a key is on its way to another node."""
        return any(span.first <= key <= span.last for span in self.leaving)

    def given(self, now: int) -> dict[Span, NodeId]:
        """Return the leaving spans that the target holds no more."""
        return {
            span: to
            for span, to in self.leaving.items()
            if now >= self.hold_until
            or (span in self._dropped and not self._holds(span))
        }

    def retain_handovers(self, fit: Callable[[NodeId], bool]) -> None:
        """Give no span to a node that is not fit to take it."""
        self.leaving = {
            span: to for span, to in self.leaving.items() if fit(to)
        }

    def release_confirmation(
        self, span: Span, epoch: Epoch, now: int
    ) -> ReleaseConfirmation | None:
        """Return this node's word on a row that it owned, if it can give it.

        Notes
        -----
        The target must have reported to this process, so that what an
        earlier life of the process granted is known, too.
        """
        known = self.life is not None or self.retired
        if self.table is None or not known:
            return None
        listed = list(self.table.overlapping(span))
        if any(row.owner == self.node or row.epoch < epoch for row in listed):
            return None
        if now < self.hold_until and self._holds(span):
            return None
        found = [token for token in self._tokens if token.span.overlaps(span)]
        return ReleaseConfirmation(span, epoch, tuple(found))

    def _holds(self, span: Span) -> bool:
        held = any(known.span.overlaps(span) for known in self.held)
        return held or any(known.overlaps(span) for known in self._granted)

    def _sighting(self, row: Row, now: int) -> int:
        # A row that was cut from a longer one keeps the time of that one.
        for known, seen_at in self._seen_at.items():
            if known.epoch == row.epoch and known.span.contains(row.span):
                if known in self._inherited:
                    self._inherited.add(row)
                return seen_at
        return now

    def _note_life(self, report: Report) -> None:
        if self.life == report.life:
            return
        if self.life is None:
            self._adopt(report)
        else:
            self._lives += 1
            self.target_lost()
        self.life = report.life

    def _adopt(self, report: Report) -> None:
        """Continue the grants of this process's last life."""
        for held in report.held:
            self._lives = max(self._lives, held.fence % LIFE_FACTOR)
        self._adopted = report.held
        self._clear_adopted()

    def _clear_adopted(self) -> None:
        for held in self._adopted:
            epoch = held.fence // LIFE_FACTOR
            for row in self._inherited:
                if row.epoch == epoch and held.span.overlaps(row.span):
                    self._clear(row.span, row.epoch)

    def _settle(self, now: int) -> None:
        for row, seen_at in self._seen_at.items():
            waited = now - seen_at >= LEASE_MS
            if waited and row not in self._inherited:
                self._clear(row.span, row.epoch)

    def _clear(self, span: Span, epoch: Epoch) -> None:
        if (span, epoch) not in self._cleared:
            self._cleared.append((span, epoch))

    def _grants(self) -> list[Grant]:
        found = []
        for row in self._seen_at:
            if not self.is_clear(row):
                continue
            parts = [row.span]
            for span in self.leaving:
                parts = [left for part in parts for left in part.without(span)]
            fence = row.epoch * LIFE_FACTOR + self._lives
            for part in parts:
                found.extend(self._with_tokens(part, fence))
        return found

    def _with_tokens(self, span: Span, fence: int) -> list[Grant]:
        """Return grants of a span, cut where handover tokens apply."""
        if any(known.span.contains(span) for known in self.held):
            return [Grant(span, fence, '')]
        found = []
        parts = [span]
        for release in reversed(self._received):
            for part in list(parts):
                if not part.overlaps(release.span):
                    continue
                parts.remove(part)
                parts.extend(part.without(release.span))
                cut = part.common(release.span)
                found.append(Grant(cut, fence, release.token))
        found.extend(Grant(left, fence, '') for left in parts)
        return sorted(found, key=lambda grant: grant.span)
