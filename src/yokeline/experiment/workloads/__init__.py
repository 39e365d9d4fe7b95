"""Workloads of the experiments, by name."""

from __future__ import annotations

from yokeline.experiment.workloads import dallim, harvest, stress
from yokeline.experiment.workloads.workload import Workload

WORKLOADS: dict[str, Workload] = {
    workload.name: workload for workload in (dallim.WORKLOAD, harvest.WORKLOAD, stress.WORKLOAD)
}
