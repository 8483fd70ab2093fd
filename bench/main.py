"""Runs a measurement by name and prints its figures as one JSON object on the last line."""

import argparse
import importlib
import json
import sys

NAMES = ("overhead", "convergence", "departure", "overload", "moves")


def main():
    """Parses the arguments and runs the measurement."""
    if len(sys.argv) < 2 or sys.argv[1] not in NAMES:
        print(f"usage: scripts/bench NAME [OPTIONS], NAME one of {', '.join(NAMES)}")
        return 2
    module = importlib.import_module(sys.argv[1])
    parser = argparse.ArgumentParser(prog=f"scripts/bench {sys.argv[1]}")
    module.add_options(parser)
    print(json.dumps(module.run(parser.parse_args(sys.argv[2:]))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
