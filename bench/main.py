"""Runs a measurement by name and prints its results as one JSON object on the last line."""

import argparse
import importlib
import json
import sys

# Module of each measurement by its name on the command line.
MODULES = {"overhead": "overhead", "convergence": "convergence", "departure": "departure",
           "overload": "overload", "moves": "moves", "load": "load_plans"}


def main():
    """Parses the arguments and runs the measurement. Returns 2 for an unknown name."""
    if len(sys.argv) < 2 or sys.argv[1] not in MODULES:
        print(f"usage: scripts/bench NAME [OPTIONS], NAME one of {', '.join(MODULES)}")
        return 2
    module = importlib.import_module(MODULES[sys.argv[1]])
    parser = argparse.ArgumentParser(prog=f"scripts/bench {sys.argv[1]}")
    module.add_options(parser)
    print(json.dumps(module.run(parser.parse_args(sys.argv[2:]))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
