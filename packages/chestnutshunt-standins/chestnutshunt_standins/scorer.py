"""Stand-in for a scoring service."""

import argparse
import time
from typing import Any

from chestnutshunt_standins import http

__all__ = ['ScorerApplication']


class ScorerApplication(http.Application):
    """Rewards each answer of a group by its number of distinct elements.

    Faults: ``delay`` (s before the response), ``status`` (respond with this
    status).
    """

    def handle(self, request: http.Request) -> tuple[int, Any]:
        """Score one group."""
        body = request.json()
        time.sleep(float(self.faults.get('delay', 0)))
        status = int(self.faults.get('status', 200))
        rewards = [len(set(answer)) / 10 for answer in body['answers']]
        self.log.add('score', count=len(rewards), status=status)
        return status, {'rewards': rewards}


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--name', default='scorer')
    http.main(lambda args: ScorerApplication(), parser)
