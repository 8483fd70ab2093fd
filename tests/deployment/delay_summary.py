"""Distributions of the time that changes took."""


def summary(delays):
    """Returns the count, quantiles and maximum of delays (s), in ms."""
    ordered = sorted(delays)
    if not ordered:
        return {"count": 0}
    at = lambda share: round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000)
    return {"count": len(ordered), "p50": at(0.5), "p90": at(0.9), "p99": at(0.99),
            "max": round(ordered[-1] * 1000)}


def summaries(trials, key):
    """Returns the summary of trials (dictionaries with a delay) for each value of a key."""
    values = sorted({str(t[key]) for t in trials})
    return {v: summary([t["delay"] for t in trials if str(t[key]) == v]) for v in values}
