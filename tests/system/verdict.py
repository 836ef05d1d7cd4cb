"""Checks the outcomes that callers got against the runs at the upstreams."""

from callers import count_outcomes


def check_outcomes(requests, runs):
    """
    Returns counts by outcome and a list of violations.

    `runs` is the number of times that upstreams started each request, by key. A request
    that is not idempotent must start at most once, and not at all if it was refused as
    "not-run". An answered request must have started. Every outcome must be one of the
    contract: answered, not-run or unknown.
    """
    counts = count_outcomes(requests)
    violations = []
    duplicated = 0
    for request in requests:
        started = runs.get(request.key, 0)
        if not request.idempotent and started > 1:
            duplicated += 1
            violations.append(f"{request.key} is not idempotent and ran {started} times")
        if request.outcome == "not-run" and not request.idempotent and started > 0:
            violations.append(f"{request.key} was refused as not-run but ran (runs: {started})")
        if request.outcome == "answered" and started == 0:
            violations.append(f"{request.key} was answered but did not run")
        if request.outcome not in ("answered", "not-run", "unknown"):
            violations.append(f"{request.key}: outcome {request.outcome}: {request.reason}")
    return {
        "requests": len(requests),
        "answered": counts["answered"],
        "refused_not_run": counts["not-run"],
        "unknown": counts["unknown"],
        "incomplete": len(requests) - counts["answered"] - counts["not-run"] - counts["unknown"],
        "duplicated": duplicated,
    }, violations
