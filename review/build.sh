#!/bin/bash
# Builds the stand-ins and the programs of the cases, after the build of deploy/service.toml, whose
# library they link. Everything goes to target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Isrc -Ireview/standins -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DMSGPACK_NO_BOOST
       -DSPDLOG_FMT_EXTERNAL -DFMT_HEADER_ONLY -DTOML_HEADER_ONLY=1 -Wno-restrict)
for source in review/standins/platform.cpp src/simulators/messages.cpp review/[0-9]*/*.cpp; do
  [[ -f $source ]] || continue
  object=target/review/$(echo "$source" | tr / _).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
done
wait
for source in review/[0-9]*/*.cpp; do
  [[ -f $source ]] || continue
  case=$(basename "$(dirname "$source")")
  g++ -o "target/review/case-$case" "target/review/$(echo "$source" | tr / _).o" \
    target/review/review_standins_platform.cpp.o target/review/src_simulators_messages.cpp.o \
    target/libsumacquay_core.a -lhttp_parser -lconfuse -pthread
done
