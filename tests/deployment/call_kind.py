"""A kind of request of the deployment."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallKind:
    """Rates are shares of a node's requests; times are in seconds."""

    prefix: str
    method: str
    service: str
    share: float
    work: float
    deadline: float
    is_pooled: bool = False
    is_safe: bool = True
    # The prefix and the number of the calls that its server makes, and whether at the same time.
    nested: str = ""
    nested_count: int = 0
    nested_together: bool = False
    body_bytes: int = 0
