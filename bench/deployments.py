"""Small versions of customer deployments, for the demo and the measurements."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Service:
    """A service, its number of servers, and its routes as (name, path prefix)."""

    name: str
    servers: int
    routes: tuple
    version: str = "v1"


@dataclass(frozen=True)
class Deployment:
    """The data centres of a region and the services distributed over them."""

    name: str
    region: str
    data_centres: tuple
    services: tuple = field(default_factory=tuple)

    def intent(self, defaults=None):
        """Returns the intent document of this deployment.

        Parameter defaults overrides or extends the default settings.
        """
        return {
            "dataCentres": [
                {"name": name, "region": self.region, "out": False}
                for name in self.data_centres
            ],
            "services": [
                {"name": service.name, "version": service.version}
                for service in self.services
            ],
            "routes": [
                {"name": route, "pathPrefix": prefix, "service": service.name}
                for service in self.services
                for route, prefix in service.routes
            ],
            "defaults": {"callTimeoutMs": 2000, "attemptLimit": 3, **(defaults or {})},
            "exceptions": [],
            "moves": [],
        }


LAGOS = Deployment(
    "lagos",
    "lagos",
    ("ikeja", "lekki", "yaba", "apapa"),
    (
        Service("catalogue", 4, (("listings", "/catalogue"),)),
        Service("payments", 4, (("deposits", "/payments/deposits"), ("slips", "/payments/slips"))),
        Service("allocation", 4, (("slots", "/allocation"),)),
    ),
)

LATEXLEKH = Deployment(
    "latexlekh",
    "gujarat-west",
    ("anand", "bharuch", "navsari"),
    (
        Service("kiosk-ledger", 4, (("entries", "/ledger"),)),
        Service("purchase-desk", 3, (("purchases", "/purchases"),)),
        Service("payout-books", 3, (("payouts", "/payouts"),)),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (LAGOS, LATEXLEKH)}
