"""Retry budget: how much extra work failures may cause.

Pattern of load: an upstream (or a zone) fails while the fleet is busy.  Without
a budget each request is tried several times just when capacity is short; the
retries push the rest over the edge, which causes more retries, and the overload
outlives the failure.

The budget is a share of first attempts.  A share adds up: when each router
keeps retries under 10% of its own first attempts, so does the fleet, with no
messages between them.  Each service has a budget of its own: a small one that fails
would else get all retries that the requests for a large one have earned.  What must
not repeat is never retried once it may have run.

What counts is each arrival at an upstream beyond the first of its request, also one
that it turned away: after a loss of power all processes would else send most requests
on at once, from instance to instance that is no longer there.  A router's attempt that
a sidecar turned away has not arrived at the upstream, and takes nothing.
"""

from collections.abc import Hashable

RETRY_FRACTION = 0.1
"""Ten retries to a hundred requests: losing one upstream of ten at once needs
about as many, and the others can carry it at 90% load."""

RESERVE_RETRIES = 5.0
"""Retries saved up at the most by a quiet router: the failure of one upstream
leaves a handful of requests to run again."""

INITIAL_RETRIES = 3.0
"""Retries of a process that has just started: one upstream that fails is ejected after
as many.  With a whole reserve a series of kills, or a fleet that starts at once, would
send the reserves of all its starts together."""

FLEET_RESERVE_RETRIES = 30.0
"""Retries saved up at the most by all processes of a fleet together.  A fixed reserve
of each adds up instead: 29 quiet processes with 6 would send 174 at once."""

MAX_ATTEMPTS = 3
"""Three independent upstreams failing one request point at the request."""


def process_reserve(*, processes: int, most: float = RESERVE_RETRIES) -> float:
    """Return one process's part of the fleet's reserve: one retry at the least.

    Parameters
    ----------
    processes : int
        Of the fleet, those that are not heard just now too: in a cut each side would
        else take the whole reserve.
    most : float
        What a process keeps in a small fleet.
    """
    return min(most, max(1.0, FLEET_RESERVE_RETRIES / processes))


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    Parameters
    ----------
    share : float
        Retries earned by one first attempt.
    reserve : float
        Retries saved up at the most.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, reserve=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.take()
    True
    """

    def __init__(
        self, *, share: float = RETRY_FRACTION, reserve: float = RESERVE_RETRIES
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._available_retries = min(reserve, INITIAL_RETRIES)

    @property
    def available_retries(self) -> float:
        """Retries that could be spent now; a part of one can't."""
        return self._available_retries

    def record_first_attempt(self) -> None:
        """Count one first attempt."""
        self._available_retries = min(
            self._reserve, self._available_retries + self._share
        )

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve; what is saved up beyond it is lost."""
        self._reserve = reserve
        self._available_retries = min(self._reserve, self._available_retries)

    def try_spend(self) -> bool:
        """Spend one retry if there is one."""
        if self._available_retries < 1.0 - 1e-9:
            return False
        self._available_retries -= 1.0
        return True


class RetryBudgets:
    """A retry budget for each service, or whatever else requests are for.

    Examples
    --------
    >>> budgets = RetryBudgets(share=0.5, reserve=1.0)
    >>> budgets.of("chat").take(), budgets.of("chat").take()
    (True, False)
    >>> budgets.of("lookup").take()
    True
    """

    def __init__(
        self, *, share: float = RETRY_FRACTION, reserve: float = RESERVE_RETRIES
    ) -> None:
        self._share = share
        self._reserve = reserve
        self._budget_by_service: dict[Hashable, RetryBudget] = {}

    def get(self, service: Hashable) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(share=self._share, reserve=self._reserve)
            self._budget_by_service[service] = budget
        return budget

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve of each service."""
        self._reserve = reserve
        for budget in self._budget_by_service.values():
            budget.set_reserve(reserve)
