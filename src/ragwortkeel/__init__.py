"""Router fleet for prepaid token budgets, and its public components."""

from ragwortkeel.budget.ledger import Ledger
from ragwortkeel.budget.receipt import Bill
from ragwortkeel.budget.slice import Reservation, Slice
from ragwortkeel.configuration import (
    Node,
    Profile,
    ServiceClass,
    Spread,
    Upstream,
    UpstreamKind,
    UpstreamState,
)
from ragwortkeel.configuration_store import ConfigurationStore
from ragwortkeel.exceptions import RagwortkeelError
from ragwortkeel.links import Endpoint, Link
from ragwortkeel.membership import Membership
from ragwortkeel.platform import Platform
from ragwortkeel.policy.scheduler import Scheduler
from ragwortkeel.runs.assembly import Assembly
from ragwortkeel.runs.filing import Filing
from ragwortkeel.runs.journal import Journal

__all__ = [
    "Assembly",
    "Bill",
    "ConfigurationStore",
    "Endpoint",
    "Filing",
    "Journal",
    "Ledger",
    "Link",
    "Membership",
    "Node",
    "Platform",
    "Profile",
    "RagwortkeelError",
    "Reservation",
    "Scheduler",
    "ServiceClass",
    "Slice",
    "Spread",
    "Upstream",
    "UpstreamKind",
    "UpstreamState",
]
