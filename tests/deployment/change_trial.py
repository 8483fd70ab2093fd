"""What one trial of a change meets."""

from dataclasses import dataclass

WAYS = ("closed", "reset", "silent", "busy", "many")
CONNECTIONS = ("cut", "kept", "hanging", "ended")
# "meeting": the rejection begins up to 50 ms before the change; "earlier": up to 0.9 s before it;
# "later": the change comes 0.9 to 8 s after the rejection began;
# "paused": up to 20 ms around a change that follows another one within 0.6 s.
TIMINGS = ("meeting", "earlier", "later", "paused")
SECONDS = ("zone_cut", "bridge_cut", "kill", "freeze", "silent_links")


@dataclass
class ChangeTrial:
    """Delays are in seconds; a negative one puts the rejection after the change."""

    way: str
    connections: str
    timing: str
    second: str | None
    further: int  # how many nodes besides the followers the store rejects
    pause: float | None  # between an earlier change and the change
    rejection_delay: float
    is_burst: bool

    @staticmethod
    def draw(rng, ways, timings, seconds):
        timing = rng.choice(timings)
        delay = {"meeting": rng.uniform(0.0, 0.05), "earlier": rng.uniform(0.05, 0.9),
                 "later": rng.uniform(0.9, 8.0),
                 "paused": rng.uniform(-0.02, 0.02)}[timing]
        return ChangeTrial(rng.choice(ways), rng.choice(CONNECTIONS), timing,
                           rng.choice(seconds) if seconds else None, rng.choice((0, 0, 1, 2)),
                           rng.uniform(0.0, 0.6) if timing == "paused" else None, delay,
                           rng.random() < 0.5)
