"""How many statements to run at an endpoint at a time."""

import dataclasses

MIN_SERVICE_SECONDS = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyOptions:
    """How the limit follows the service time.

    :ivar tolerance: slowdown against the usual that calls for a trial
    :ivar decrease: factor of the limit in a trial
    :ivar increase: statements added for each full round in good time
    :ivar trial_rounds: times that a trial fills its limit
    :ivar longest_trial: seconds; no trial is made that would last longer
    :ivar hold_samples: statements between a vain trial and the next
    :ivar kept_throughput: share of the throughput that a lower limit must
        keep to stay
    :ivar recent_weight: weight of a new sample in the recent slowdown
    :ivar usual_weight: weight of a new sample in the usual service time
    """

    tolerance: float = 2.0
    decrease: float = 0.7
    increase: float = 0.25
    trial_rounds: int = 4
    longest_trial: float = 1.0
    hold_samples: int = 200
    kept_throughput: float = 0.75
    recent_weight: float = 0.2
    usual_weight: float = 0.005


class _Mean:
    """Mean slowdown, and mean service time in seconds."""

    def __init__(self) -> None:
        self.count = 0
        self._slowdowns = 0.0
        self._seconds = 0.0

    def add(self, slowdown: float, seconds: float) -> None:
        self.count += 1
        self._slowdowns += slowdown
        self._seconds += seconds

    @property
    def slowdown(self) -> float:
        return self._slowdowns / self.count

    @property
    def seconds(self) -> float:
        return self._seconds / self.count


@dataclasses.dataclass(slots=True)
class _Trial:
    """A lower limit that is tried out.

    :ivar limit: limit before
    :ivar slowdown: mean slowdown before
    :ivar skip: statements to leave out, started under the limit before
    """

    limit: float
    slowdown: float
    skip: int
    mean: _Mean = dataclasses.field(default_factory=_Mean)


class ConcurrencyLimit:
    """Limit that shrinks while running less at a time costs nothing.

    When an endpoint answers slower than usual, fewer run for a trial. The
    lower limit stays if the endpoint then answers as much faster, so that
    the statements were only waiting on each other; else it was slow for
    another reason, and the limit comes back. Each kind is compared with its
    own usual service time; a lasting change becomes the usual.
    """

    def __init__(
        self, cap: int, options: ConcurrencyOptions | None = None
    ) -> None:
        """Start at the cap.

        :param cap: statements at a time that are never passed
        :param options: how the limit moves
        """
        self._cap = cap
        self._limit = float(cap)
        self._options = options or ConcurrencyOptions()
        self._usual: dict[str, float] = {}
        self._slowdown = 1.0
        self._slow = _Mean()
        self._trial: _Trial | None = None
        # Statements until there may be another trial.
        self._pause = 0

    @property
    def limit(self) -> int:
        """Statements to run at a time, at least 1."""
        return max(1, int(self._limit + 1e-9))

    def set_cap(self, cap: int) -> None:
        """Change the cap and start from it.

        :param cap: statements at a time
        """
        if cap != self._cap:
            self._cap = cap
            self._limit = float(cap)
            self._trial = None
            self._slow = _Mean()
            self._pause = 0

    def observe(self, kind: str, seconds: float) -> None:
        """Take the service time of a statement that ended.

        :param kind: kind of work
        :param seconds: time between start and end
        """
        options = self._options
        seconds = max(seconds, MIN_SERVICE_SECONDS)
        usual = self._usual.get(kind, seconds)
        slowdown = seconds / usual
        self._slowdown += options.recent_weight * (slowdown - self._slowdown)
        if self._trial is None and not self._slow.count:
            # Before and during a trial the yardstick stays the same.
            usual += options.usual_weight * (seconds - usual)
        self._usual[kind] = usual
        if self._trial is not None:
            self._try_out(self._trial, slowdown, seconds)
        elif self._slowdown <= options.tolerance:
            self._slow = _Mean()
            step = options.increase / self.limit
            self._limit = min(float(self._cap), self._limit + step)
        elif self._pause:
            self._pause -= 1
        elif self.limit > 1:
            self._slow.add(slowdown, seconds)
            if self._slow.count >= options.trial_rounds * self.limit:
                self._start_trial(self._slow)

    def _start_trial(self, slow: _Mean) -> None:
        self._slow = _Mean()
        # It fills the lower limit, once more to end what runs already.
        rounds = self._options.trial_rounds + 1
        if slow.seconds * rounds > self._options.longest_trial:
            self._pause = self._options.hold_samples
            return
        self._trial = _Trial(self._limit, slow.slowdown, self.limit)
        self._limit = max(1.0, self._limit * self._options.decrease)

    def _try_out(self, trial: _Trial, slowdown: float, seconds: float) -> None:
        if trial.skip:
            trial.skip -= 1
            return
        trial.mean.add(slowdown, seconds)
        if trial.mean.count < self._options.trial_rounds * self.limit:
            return
        self._trial = None
        faster = trial.slowdown / trial.mean.slowdown
        before = max(1, int(trial.limit + 1e-9))
        kept = faster * self.limit / before
        if kept < self._options.kept_throughput:
            self._limit = trial.limit
            self._pause = self._options.hold_samples
