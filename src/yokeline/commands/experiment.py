"""The command that measures scheduling policies."""

from __future__ import annotations

import os

from yokeline.commands.connection import TOKEN_VARIABLE


def experiment(
    *,
    workload: str = "dallim",
    policies: str = "",
    seeds: int = 20,
    first_seed: int = 1,
    load: str = "0.85",
    saturation: float = 0.0,
    ablate: bool = False,
    json: bool = False,
    plot: str = "",
    engine: str = "",
    live: str = "",
    token: str = "",
    program: str = "",
    tool: str = "",
    child: str = "",
    time_scale: float = 1.0,
    requests: int = 100,
) -> int:
    """Measure scheduling policies on a workload, on a virtual clock.

    Every policy serves the same arrivals. Changes are given against the best baseline, the
    one with the least mean latency at the load, and for ablations against the product's
    policy. With --live the first requests of the
    workload go to a real deployment on this machine instead, and latency is measured from
    outside.

    Args:
        workload: dallim, harvest or stress; dallim if left out.
        policies: Names with commas between them; all baselines, the product's policy and the
            clairvoyant reference if left out.
        seeds: Number of seeds; 20 if left out.
        first_seed: The first seed; the others follow it. 1 if left out.
        load: Multiples of the best baseline's saturation, with commas between them; 0.85 if
            left out.
        saturation: Programs a second that count as load 1, from an earlier report; searched
            if left out.
        ablate: Measure also the product's policy with each mechanism switched off alone.
        json: Print the report as JSON.
        plot: Folder for plots.
        engine: TOML file with the engines' parameters, as for yokeline emulate engine; a
            70-billion-parameter model on two accelerators if left out.
        live: URL of a node on this machine; the request rate is then load times saturation
            times time scale, with a saturation of 1 if left out.
        token: Bearer token for --live; YOKELINE_TOKEN if left out.
        program: With --live: the program that all requests start.
        tool: With --live: the tool that stands for all tools; without it no tool is used.
        child: With --live: the child program that stands for all child runs.
        time_scale: With --live: factor by which the arrivals come faster; 1 if left out.
        requests: With --live: most requests sent; 100 if left out.
    """
    # Imported here: the simulation's libraries would slow the start of every other command.
    from yokeline.experiment.console import Choice, run_against, run_simulated
    from yokeline.experiment.live import LivePlan

    choice = Choice(
        workload=workload,
        policies=policies,
        seeds=seeds,
        first_seed=first_seed,
        load=load,
        saturation=saturation,
        ablate=ablate,
        as_json=json,
        plot=plot,
        engine=engine,
    )
    if not live:
        return run_simulated(choice)
    plan = LivePlan(
        url=live,
        token=token or os.environ.get(TOKEN_VARIABLE, ""),
        program=program,
        tool=tool,
        child=child,
        time_scale=time_scale,
        requests=requests,
    )
    return run_against(plan, choice)
