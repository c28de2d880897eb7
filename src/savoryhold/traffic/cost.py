"""Forecast of run times from what is known of a request before it runs.

Each class of requests has a histogram with logarithmic buckets (as in DDSketch)
whose samples lose weight exponentially.  Weights grow with time instead of
decaying (forward decay, Cormode et al., 2009), so that a sample touches one
bucket.  A class with few samples shrinks towards the coarser class that
contains it, and the coarsest one towards a log-normal prior.
"""

import dataclasses
import itertools
import math
from collections import OrderedDict
from collections.abc import Hashable, Sequence
from typing import TypeVar

__all__ = ['CostClass', 'CostModel', 'RequestTraits']

BUCKETS_PER_OCTAVE = 4  # bounds differ by 19%, less than run times spread
BUCKET_COUNT = 64  # up to 2**16 ms, longer than any deadline
HALF_LIFE_MS = 30_000  # of the weight of a sample, while others arrive
MAX_GAP_MS = 3000  # time without samples ages the others by no more than this
MAX_SCALE = 1e12  # weights are divided by the scale before they overflow
PRIOR_WEIGHT = 8.0  # samples that the coarser class counts as
INITIAL_MS = 60.0  # assumed before the first sample
PRIOR_SPREAD = 0.8  # sigma of the log-normal prior
MIN_PRIOR = 1e-12  # probability of a bucket, avoids empty tails
MAX_STALE_SAMPLES = 64  # after which derived tables are computed again
STALE_SHARE = 0.25  # the same, as a share of the weight
MIN_LEFT_SHARE = 0.05  # of the elapsed time, that a run has left at least
MAX_CLASSES = 512  # 1.8 KB each with derived tables
MAX_KEYS = 256  # keys with an estimate of their own
MAX_SEEN_KEYS = 1024  # keys of which one sample is known
KEY_PRIOR = 6.0  # samples of a usual key that an own estimate starts with
KEY_SAMPLES = 40.0  # over which the estimate of a key averages
MAX_KEY_RATIO = 8.0  # of one sample to the estimate of its class
SIZE_STEP_BITS = 2  # size classes of bodies differ by a factor of four

Histogram = Sequence[float]
_Entry = TypeVar('_Entry')


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What is known of a request before it runs.

    ``caller`` names a group of callers, such as the nested calls; ``key`` is
    negative for a service without keys.
    """

    service: str
    route: str
    method: bytes = b''
    body_bytes: int = 0
    caller: str = ''
    key: int = -1


class CostClass:
    """Run times of one class of requests at a target of usual pace, in ms.

    Parameters
    ----------
    name : tuple
        Name of the class, from its coarsest part to the finest.
    parent : CostClass or None
        The coarser class that contains it.
    """

    __slots__ = (
        'name',
        'parent',
        '_counts',
        '_weight',
        '_total',
        '_scale',
        '_at',
        '_new_samples',
        '_shares',
        '_tail_means',
    )

    def __init__(
        self, name: tuple[Hashable, ...], parent: 'CostClass | None' = None
    ) -> None:
        self.name = name
        self.parent = parent
        self._counts = [0.0 for _ in range(BUCKET_COUNT)]
        self._weight = 0.0
        self._total = 0.0
        self._scale = 1.0
        self._at = 0
        self._new_samples = 0
        self._shares: Histogram = ()
        self._tail_means: Histogram = ()

    def record(self, run_ms: float, now: int) -> None:
        """Add a sample."""
        if self._weight:
            gap_ms = min(MAX_GAP_MS, max(0, now - self._at))
            self._scale *= math.exp2(gap_ms / HALF_LIFE_MS)
            if self._scale > MAX_SCALE:
                self._rescale()
        self._at = now
        self._counts[int(_position(run_ms))] += self._scale
        self._weight += self._scale
        self._total += self._scale * run_ms
        self._new_samples += 1

    @property
    def samples(self) -> float:
        """Return the number of samples, by their weight."""
        return self._weight / self._scale

    def mean_ms(self) -> float:
        """Return the mean, shrunk towards that of the coarser class."""
        prior = INITIAL_MS if self.parent is None else self.parent.mean_ms()
        pseudo = PRIOR_WEIGHT * self._scale
        return (self._total + pseudo * prior) / (self._weight + pseudo)

    def quantile_ms(self, share: float) -> float:
        """Return the run time below which a share of the runs stays."""
        below = itertools.accumulate(self.distribution())
        for index, probability in enumerate(below):
            if probability >= share:
                return _upper_bound(index)
        return _upper_bound(BUCKET_COUNT - 1)

    def left_ms(self, elapsed_ms: float) -> float:
        """Return the expected rest of a run after a time."""
        if elapsed_ms < 1:
            return self.mean_ms()
        self.distribution()
        position = _position(elapsed_ms)
        index = min(BUCKET_COUNT - 2, int(position))
        part = min(1.0, position - index)
        means = self._tail_means
        end = means[index] + part * (means[index + 1] - means[index])
        return max(end - elapsed_ms, elapsed_ms * MIN_LEFT_SHARE)

    def _rescale(self) -> None:
        self._counts = [count / self._scale for count in self._counts]
        self._weight /= self._scale
        self._total /= self._scale
        self._scale = 1.0

    def distribution(self) -> Histogram:
        """Return the share of each bucket, recent enough for a forecast."""
        limit = min(MAX_STALE_SAMPLES, 1 + STALE_SHARE * self.samples)
        if not self._shares or self._new_samples >= limit:
            self._refresh()
        return self._shares

    def _refresh(self) -> None:
        """Compute the shares and the mean run time beyond each bucket."""
        self._new_samples = 0
        coarse: Histogram = _PRIOR
        if self.parent is not None:
            coarse = self.parent.distribution()
        total = self.samples + PRIOR_WEIGHT
        unit = 1.0 / (self._scale * total)
        prior_share = PRIOR_WEIGHT / total
        self._shares = [
            count * unit + share * prior_share
            for count, share in zip(self._counts, coarse, strict=True)
        ]
        self._tail_means = _tail_means(self._shares)


class CostModel:
    """Classes of requests, from one a service to specific ones.

    Parameters
    ----------
    max_classes : int
        Bound of their number; the least recently used ones are dropped.
    """

    def __init__(self, max_classes: int = MAX_CLASSES) -> None:
        self._classes: OrderedDict[tuple[Hashable, ...], CostClass] = (
            OrderedDict()
        )
        self._max_classes = max_classes
        self._keys = _KeyRatios()

    def __len__(self) -> int:
        """Return the number of classes."""
        return len(self._classes)

    def forecast_ms(self, traits: RequestTraits) -> float:
        """Return the expected run time at a target of usual pace."""
        mean_ms = self._finest(traits).mean_ms()
        if traits.key < 0:
            return mean_ms
        return mean_ms * self._keys.ratio(traits.service, traits.key)

    def route_class(self, service: str, route: str) -> CostClass:
        """Return the class of a route at a service."""
        return self._class_of((service, route))

    def record(
        self, traits: RequestTraits, run_ms: float, pace: float, now: int
    ) -> None:
        """Add the run time of a request at a target of a pace."""
        usual_ms = run_ms / pace
        each: CostClass | None = self._finest(traits)
        if traits.key >= 0 and each is not None:
            ratio = usual_ms / each.mean_ms()
            self._keys.record(traits.service, traits.key, ratio)
        while each is not None:
            each.record(usual_ms, now)
            each = each.parent

    def _finest(self, traits: RequestTraits) -> CostClass:
        size = traits.body_bytes.bit_length() // SIZE_STEP_BITS
        name = (traits.service, traits.route, (traits.method, size))
        if traits.caller:
            return self._class_of((*name, traits.caller))
        return self._class_of(name)

    def _class_of(self, name: tuple[Hashable, ...]) -> CostClass:
        known = self._classes.get(name)
        if known is None:
            parent = self._class_of(name[:-1]) if len(name) > 1 else None
            known = CostClass(name, parent)
            self._classes[name] = known
            if len(self._classes) > self._max_classes:
                self._classes.popitem(last=False)
        # Coarse classes are moved last, so that they are dropped last.
        each: CostClass | None = known
        while each is not None:
            if each.name in self._classes:
                self._classes.move_to_end(each.name)
            each = each.parent
        return known


class _KeyRatios:
    """How much longer than others of their class the requests of a key run.

    Notes
    -----
    A key gets an estimate with its second sample.  The filter keeps keys that
    are seen once from evicting the heavy ones (as the doorkeeper of TinyLFU).
    """

    def __init__(self) -> None:
        self._ratios: OrderedDict[tuple[str, int], list[float]] = OrderedDict()
        self._seen_once: OrderedDict[tuple[str, int], None] = OrderedDict()

    def ratio(self, service: str, key: int) -> float:
        found = self._ratios.get((service, key))
        if found is None:
            return 1.0
        weight, total = found
        return (total + KEY_PRIOR) / (weight + KEY_PRIOR)

    def record(self, service: str, key: int, ratio: float) -> None:
        name = (service, key)
        found = self._ratios.get(name)
        if found is None:
            if name not in self._seen_once:
                self._seen_once[name] = None
                _trim(self._seen_once, MAX_SEEN_KEYS)
                return
            self._seen_once.pop(name)
            found = [0.0, 0.0]
            self._ratios[name] = found
            _trim(self._ratios, MAX_KEYS)
        self._ratios.move_to_end(name)
        keep = 1 - 1 / KEY_SAMPLES
        found[0] = found[0] * keep + 1
        found[1] = found[1] * keep + min(ratio, MAX_KEY_RATIO)


def _trim(entries: OrderedDict[tuple[str, int], _Entry], limit: int) -> None:
    if len(entries) > limit:
        entries.popitem(last=False)


def _position(run_ms: float) -> float:
    """Return the bucket of a run time, and the place in it as a fraction."""
    if run_ms <= 1:
        return 0.0
    return min(BUCKET_COUNT - 1.0, BUCKETS_PER_OCTAVE * math.log2(run_ms))


def _upper_bound(index: int) -> float:
    return math.exp2((index + 1) / BUCKETS_PER_OCTAVE)


def _tail_means(shares: Histogram) -> Histogram:
    """Return the mean run time of the runs that reach each bucket."""
    reached = itertools.accumulate(reversed(shares))
    work = itertools.accumulate(
        share * middle
        for share, middle in zip(
            reversed(shares), reversed(_MIDDLES), strict=True
        )
    )
    means = [total / share for total, share in zip(work, reached, strict=True)]
    means.reverse()
    return means


def _prior() -> Histogram:
    """Return the shares of the log-normal prior."""
    scale = PRIOR_SPREAD * math.sqrt(2)
    middle = math.log(INITIAL_MS) - PRIOR_SPREAD**2 / 2
    below = [0.0]
    below.extend(
        (1 + math.erf((math.log(_upper_bound(index)) - middle) / scale)) / 2
        for index in range(BUCKET_COUNT)
    )
    shares = [
        max(MIN_PRIOR, upper - lower)
        for lower, upper in itertools.pairwise(below)
    ]
    total = sum(shares)
    return [share / total for share in shares]


# Geometric middle of each bucket.
_MIDDLES = [
    math.exp2((index + 0.5) / BUCKETS_PER_OCTAVE)
    for index in range(BUCKET_COUNT)
]
_PRIOR = _prior()
