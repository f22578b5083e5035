"""make up: starts an example on stand-ins and runs it until interrupted."""

import argparse
import os
import shutil
import signal
import sys

from deploy import OPERATOR_TOKEN, Deployment

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def raise_interrupt(number, frame):
    del number, frame
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--example", default="lemnaria")
    args = parser.parse_args()
    run_dir = os.path.join(ROOT, "run", f"up-{args.example}")
    shutil.rmtree(run_dir, ignore_errors=True)
    deployment = Deployment(os.path.join(ROOT, "examples", f"{args.example}.yaml"), run_dir,
                            build=os.path.join(ROOT, "build"), net=20, proxied=True)
    signal.signal(signal.SIGTERM, raise_interrupt)
    try:
        deployment.start_all()
        urls = ",".join(deployment.entry_url(i) for i in range(len(deployment.entries)))
        print(f"export CATKINLUG_ENTRY={urls}\nexport CATKINLUG_TOKEN={OPERATOR_TOKEN}\n"
              "export PATH=$PWD/build:$PATH\n"
              f"# logs and history in {os.path.relpath(run_dir, ROOT)}; stop with Ctrl-C",
              flush=True)
        signal.pause()
    except KeyboardInterrupt:
        print("stopping", flush=True)
    finally:
        bad_exits = deployment.stop_all()
    return 1 if bad_exits else 0


if __name__ == "__main__":
    sys.exit(main())
