"""A sample deployment: bicycle repair workshops in three data centres in Bangkok.

Prints the deployment's YAML: ``python examples/wheelcraft.py > wheelcraft.yaml``.
The addresses are placeholders; pass the real ones to ``build``.
"""

from collections.abc import Mapping

from wasabipitch import declare
from wasabipitch.deployment import Deployment, Group, RequestClass

DATA_CENTRES = ("thonburi", "bangna", "chatuchak")
WORKSHOPS = ("workshop1", "workshop2", "workshop3")
FIRST_PORT = 4001


def list_instances() -> dict[str, str]:
    """Return a placeholder address for each instance, by the instance's name."""
    names = [f"{shop}-{dc}" for shop in WORKSHOPS for dc in DATA_CENTRES]
    return {name: f"127.0.0.1:{FIRST_PORT + i}" for i, name in enumerate(names)}


def build(addresses: Mapping[str, str] | None = None, **policy: bool) -> Deployment:
    """Return the deployment.

    Args:
        addresses: the ``ip:port`` of each instance, by name.
        policy: the policy fields that differ from the defaults.
    """
    known = addresses or list_instances()
    groups = [build_group(shop, known) for shop in WORKSHOPS]
    return declare.deployment(
        "wheelcraft", groups=groups, classes=build_classes(), **policy
    )


def build_group(shop: str, addresses: Mapping[str, str]) -> Group:
    """Return the database group of a workshop, an instance in each data centre."""
    instances = [
        declare.instance(f"{shop}-{dc}", addresses[f"{shop}-{dc}"], dc)
        for dc in DATA_CENTRES
    ]
    return declare.group(shop, instances, slots=2, connections=16)


def build_classes() -> list[RequestClass]:
    """Return the request classes with their deadlines, weights and age limits."""
    return [
        declare.write("job-card", deadline_s=3, weight=20),
        declare.read("job-card-read", deadline_s=3, weight=20),
        declare.payment("payment", deadline_s=4, weight=40),
        declare.write_once("release", deadline_s=4, weight=30),
        declare.replica_read(
            "repair-status",
            max_age_s=3,
            deadline_s=2,
            statements=["SELECT status, updated_at FROM job_cards WHERE id = ?"],
        ),
        declare.long_write("month-end-reconciliation", idempotent=False),
        declare.report("month-end-report", max_age_s=60),
    ]


if __name__ == "__main__":
    declare.print_yaml(build())
