"""Retry budget: the extra work that failures may cause.

Load pattern: an upstream or an availability zone fails while the fleet is busy.
Without a budget each request is attempted several times just when capacity is short;
the retries cause further failures and further retries, and the overload outlasts the
failure.

The budget is a fraction of the first attempts.  If each router keeps its retries
under 10% of its own first attempts, so does the fleet, without any coordination.
Each service has its own budget; otherwise a small service that fails would use the
retries earned by a large one.  A request that must not repeat is never retried once it
may have run.

Each arrival at an upstream beyond the first of its request counts, also if the
upstream turns it away: after a power failure all processes would otherwise send most
requests to one instance after another that is no longer there.  An attempt that a
sidecar turned away has not arrived at the upstream, and is free.
"""

from collections.abc import Hashable

RETRY_FRACTION = 0.1
"""Retries per first attempt.  Losing one of ten upstreams takes about that many
retries, and the other upstreams can serve them at 90% load."""

RESERVE_RETRIES = 5.0
"""Retries that a quiet router accumulates at most: the failure of one upstream leaves a
handful of requests to run again."""

INITIAL_RETRIES = 3.0
"""Retries of a process that has just started; as many failures eject one upstream.
With a full reserve, repeated restarts or a simultaneous start of the fleet would spend
the reserves of all starts together."""

FLEET_RESERVE_RETRIES = 30.0
"""Retries that all processes of a fleet accumulate together at most.  Fixed reserves
add up instead: 29 quiet processes with 6 retries each would send 174 at once."""

MAX_ATTEMPTS = 3
"""Attempts of one request; failures on three independent upstreams point at the
request."""


def process_reserve(*, processes: int, max_reserve: float = RESERVE_RETRIES) -> float:
    """Return one process's share of the fleet's reserve, at least one retry.

    Parameters
    ----------
    processes : int
        Processes of the fleet, including unreachable ones; otherwise each side of
        a partition would use the full reserve.
    max_reserve : float
        Maximum reserve of a process, which applies in a small fleet.
    """
    return min(max_reserve, max(1.0, FLEET_RESERVE_RETRIES / processes))


class RetryBudget:
    """Retries earned by first attempts and spent by retries.

    Parameters
    ----------
    retry_fraction : float
        Retries earned by one first attempt.
    reserve : float
        Maximum number of accumulated retries.

    Examples
    --------
    >>> budget = RetryBudget(retry_fraction=0.5, reserve=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_first_attempt()
    >>> budget.record_first_attempt()
    >>> budget.try_spend()
    True
    """

    def __init__(
        self,
        *,
        retry_fraction: float = RETRY_FRACTION,
        reserve: float = RESERVE_RETRIES,
    ) -> None:
        self._retry_fraction = retry_fraction
        self._reserve = reserve
        self._available_retries = min(reserve, INITIAL_RETRIES)

    @property
    def available_retries(self) -> float:
        """Retries that may be spent now; a fraction of one can't be spent."""
        return self._available_retries

    @property
    def has_retry(self) -> bool:
        """Whether a retry may be spent now."""
        return self._available_retries >= 1.0 - 1e-9

    def record_first_attempt(self) -> None:
        """Record one first attempt."""
        self._available_retries = min(
            self._reserve, self._available_retries + self._retry_fraction
        )

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve; accumulated retries beyond it are lost."""
        self._reserve = reserve
        self._available_retries = min(self._reserve, self._available_retries)

    def try_spend(self) -> bool:
        """Spend one retry; return whether one was available."""
        if not self.has_retry:
            return False
        self._available_retries -= 1.0
        return True

    def refund(self) -> None:
        """Return one spent retry that reached no upstream."""
        self._available_retries = min(self._reserve, self._available_retries + 1.0)


class RetryBudgets:
    """A retry budget per service, or per any other key of requests.

    Examples
    --------
    >>> budgets = RetryBudgets(retry_fraction=0.5, reserve=1.0)
    >>> budgets.get("chat").try_spend(), budgets.get("chat").try_spend()
    (True, False)
    >>> budgets.get("lookup").try_spend()
    True
    """

    def __init__(
        self,
        *,
        retry_fraction: float = RETRY_FRACTION,
        reserve: float = RESERVE_RETRIES,
    ) -> None:
        self._retry_fraction = retry_fraction
        self._reserve = reserve
        self._budget_by_service: dict[Hashable, RetryBudget] = {}

    def get(self, service: Hashable) -> RetryBudget:
        """Return the budget of a service, creating it if needed."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(
                retry_fraction=self._retry_fraction, reserve=self._reserve
            )
            self._budget_by_service[service] = budget
        return budget

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve of each service."""
        self._reserve = reserve
        for budget in self._budget_by_service.values():
            budget.set_reserve(reserve)
