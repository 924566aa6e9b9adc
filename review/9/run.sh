#!/usr/bin/env bash
# DRAIN: a server leaves without notice while a restarted node relies on a peer that is then lost.
cd "$(dirname "$0")/../.."
exec target/review-2/case-2 restart review/9
