"""The deployment of ten machines in three data centres, and its requests."""

from call_kind import CallKind

ZONES = {"gw-a": ("kiosk", "kiosk", "purchase", "payouts"),
         "gw-b": ("kiosk", "purchase", "payouts"),
         "gw-c": ("kiosk", "purchase", "payouts")}
SERVICES = ("kiosk", "purchase", "payouts")
KINDS = (
    CallKind("/view/", "GET", "kiosk", 0.508, 0.090, 1.2, nested="/tapper/", nested_count=2,
             nested_together=True),
    CallKind("/sheet/", "POST", "purchase", 0.202, 0.120, 1.5, True, False, "/grade/", 2, False,
             1200),
    CallKind("/payout/", "PUT", "payouts", 0.141, 0.063, 0.8, False, False, body_bytes=300),
    CallKind("/statement/", "GET", "payouts", 0.149, 0.036, 0.6, True),
    CallKind("/tapper/", "GET", "purchase", 0.0, 0.022, 0.25),
    CallKind("/grade/", "GET", "payouts", 0.0, 0.022, 0.25),
)
# The route that versions move, and the services that it moves between.
MOVABLE = ("/sheet/", ("purchase", "kiosk"))
NESTED_SHARE = 0.7
IDLE_ROUTES = 300


def fixed_rules():
    """Returns the rules of the routes with traffic by their prefix."""
    return {k.prefix: {"name": f"r{k.prefix.strip('/')}", "kind": "safe" if k.is_safe else "unsafe",
                       "targetLatencyS": 0.4, "priority": 1, "match": {"prefix": k.prefix},
                       "action": {"service": k.service, "timeoutS": 2.0, "maxAttempts": 2}}
            for k in KINDS}
