"""Concurrency limit that is lowered by trials."""

import dataclasses

from fescuestile import concurrency_limits

MIN_SERVICE_SECONDS = concurrency_limits.MIN_SERVICE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class TrialOptions:
    """Parameters by which the limit follows the service time.

    :ivar tolerance: slowdown relative to the baseline above which a trial
        is started
    :ivar decrease: factor of the limit in a trial
    :ivar increase: statements by which the limit grows per round, that is
        for each ``limit`` statements that end without a slowdown
    :ivar trial_rounds: rounds that a trial lasts
    :ivar max_trial_duration: seconds; a trial that is expected to last
        longer is not started
    :ivar holdoff_samples: statements between a failed or skipped trial and
        the next
    :ivar min_kept_throughput: share of the throughput that a trial must
        reach for its lower limit to be kept
    :ivar recent_weight: weight of a new sample in the recent slowdown
    :ivar baseline_weight: weight of a new sample in the baseline service
        time
    """

    tolerance: float = 2.0
    decrease: float = 0.7
    increase: float = 0.25
    trial_rounds: int = 4
    max_trial_duration: float = 1.0
    holdoff_samples: int = 200
    min_kept_throughput: float = 0.75
    recent_weight: float = 0.2
    baseline_weight: float = 0.005


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
    """Trial of a lower limit.

    :ivar limit: limit before the trial
    :ivar slowdown: mean slowdown before the trial
    :ivar skip: statements still to ignore, which started under the limit
        before the trial
    :ivar mean: samples taken under the lower limit
    """

    limit: float
    slowdown: float
    skip: int
    mean: _Mean = dataclasses.field(default_factory=_Mean)


class TrialLimit(concurrency_limits.ConcurrencyLimit):
    """Concurrency limit that is lowered where that costs no throughput.

    When an endpoint answers slower than its baseline, a lower limit is tried
    out. It is kept if the endpoint then answers faster by about the same
    factor, since the statements were only waiting for each other. Otherwise
    the endpoint is slow for another reason and the former limit is restored.
    Each kind is compared with its own baseline service time, which follows
    lasting changes.
    """

    def __init__(self, cap: int, options: TrialOptions | None = None) -> None:
        """Initialize with the limit at the cap.

        :param options: parameters of the limit
        """
        super().__init__(cap)
        self._options = options or TrialOptions()
        self._baselines: dict[str, float] = {}
        self._slowdown = 1.0
        self._slow_samples = _Mean()
        self._trial: _Trial | None = None
        # Statements until the next trial may start.
        self._holdoff = 0

    def reset(self) -> None:
        """Forget the trial in progress."""
        self._trial = None
        self._slow_samples = _Mean()
        self._holdoff = 0

    def observe(
        self, kind: str, seconds: float, in_flight: int, ok: bool
    ) -> int:
        """Record the service time of a statement that ended."""
        options = self._options
        seconds = max(seconds, MIN_SERVICE_SECONDS)
        baseline = self._baselines.get(kind, seconds)
        slowdown = seconds / baseline
        self._slowdown += options.recent_weight * (slowdown - self._slowdown)
        if self._trial is None and not self._slow_samples.count:
            # The baseline is not moved shortly before and during a trial,
            # so that both are compared with the same value.
            baseline += options.baseline_weight * (seconds - baseline)
        self._baselines[kind] = baseline
        if self._trial is not None:
            self._evaluate_trial(self._trial, slowdown, seconds)
        elif self._slowdown <= options.tolerance:
            self._slow_samples = _Mean()
            step = options.increase / self.limit
            self._limit = min(float(self._cap), self._limit + step)
        elif self._holdoff:
            self._holdoff -= 1
        elif self.limit > 1:
            self._slow_samples.add(slowdown, seconds)
            if self._slow_samples.count >= options.trial_rounds * self.limit:
                self._start_trial(self._slow_samples)
        return self.limit

    def _start_trial(self, slow: _Mean) -> None:
        self._slow_samples = _Mean()
        # One more round for the statements that are already running.
        rounds = self._options.trial_rounds + 1
        if slow.seconds * rounds > self._options.max_trial_duration:
            self._holdoff = self._options.holdoff_samples
            return
        self._trial = _Trial(self._limit, slow.slowdown, self.limit)
        self._limit = max(1.0, self._limit * self._options.decrease)

    def _evaluate_trial(
        self, trial: _Trial, slowdown: float, seconds: float
    ) -> None:
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
        if kept < self._options.min_kept_throughput:
            self._limit = trial.limit
            self._holdoff = self._options.holdoff_samples
