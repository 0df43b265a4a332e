"""A sample deployment: ledgers of injection mould makers in four data centres.

Prints the deployment's YAML: ``python examples/cooperative.py > cooperative.yaml``.
The addresses are placeholders; pass the real ones to ``build``.
"""

from collections.abc import Mapping

from wasabipitch import declare
from wasabipitch.deployment import Deployment, Group, RequestClass

# Each ledger has one instance in each of three of the four data centres.
LEDGERS = {
    "ledger1": ("dalton", "gainesville", "rome"),
    "ledger2": ("gainesville", "rome", "marietta"),
    "ledger3": ("rome", "marietta", "dalton"),
}
FIRST_PORT = 4101


def list_instances() -> dict[str, str]:
    """Return a placeholder address for each instance, by the instance's name."""
    names = [f"{ledger}-{dc}" for ledger, dcs in LEDGERS.items() for dc in dcs]
    return {name: f"127.0.0.1:{FIRST_PORT + i}" for i, name in enumerate(names)}


def build(addresses: Mapping[str, str] | None = None, **policy: bool) -> Deployment:
    """Return the deployment.

    Args:
        addresses: the ``ip:port`` of each instance, by name.
        policy: the policy fields that differ from the defaults.
    """
    known = addresses or list_instances()
    groups = [build_group(ledger, known) for ledger in LEDGERS]
    return declare.deployment(
        "cooperative", groups=groups, classes=build_classes(), **policy
    )


def build_group(ledger: str, addresses: Mapping[str, str]) -> Group:
    """Return the database group of a ledger."""
    instances = [
        declare.instance(f"{ledger}-{dc}", addresses[f"{ledger}-{dc}"], dc)
        for dc in LEDGERS[ledger]
    ]
    return declare.group(ledger, instances, slots=2, connections=30)


def build_classes() -> list[RequestClass]:
    """Return the request classes with their deadlines, weights and age limits."""
    return [
        declare.write_once("press-booking", deadline_s=4, weight=40),
        declare.read("booking-read", deadline_s=3, weight=20),
        declare.write("quote", deadline_s=3, weight=20),
        declare.write("sample-shot", deadline_s=3, weight=20),
        declare.read("quote-read", deadline_s=3, weight=20),
        declare.payment("payment", deadline_s=4, weight=40),
        declare.replica_read(
            "certificate-lookup",
            max_age_s=5,
            deadline_s=2,
            statements=["SELECT * FROM certificates WHERE heat_number = ?"],
        ),
        declare.replica_read("trial-record", max_age_s=5, deadline_s=2),
        declare.report("trial-history-report", max_age_s=30),
        declare.long_write("month-end-reconciliation", idempotent=False),
    ]


if __name__ == "__main__":
    declare.print_yaml(build())
