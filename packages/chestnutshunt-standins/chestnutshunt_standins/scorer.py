"""Stand-in for a scoring service."""

import argparse
import time
from typing import Any

from chestnutshunt_standins import http

__all__ = ['ScorerApplication']


class ScorerApplication(http.Application):
    """Gives each answer of a group a reward.

    Faults: ``delay`` (s), ``status`` (answer with this status).
    """

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Score one group."""
        asked = request.json()
        time.sleep(float(self.faults.get('delay', 0)))
        status = int(self.faults.get('status', 200))
        rewards = [len(set(answer)) / 10 for answer in asked['answers']]
        self.log.add('score', count=len(rewards), status=status)
        return status, {'rewards': rewards}


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', default='scorer')
    http.main(lambda args: ScorerApplication(), parser)
