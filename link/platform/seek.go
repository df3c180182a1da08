package platform

import (
	"context"

	"foxtailbridge/policy/clock"
)

// Seek returns an offset at or before the first record of the stream that was
// appended at the log time or later, by binary search.
func Seek(ctx context.Context, log *Log, stream Stream, at clock.Millis) (Offset, error) {
	batch, err := log.Read(ctx, stream, 0, 1, 0)
	if err != nil {
		return 0, err
	}
	low, high := batch.First, batch.End
	for low < high {
		middle := low + (high-low)/2
		probe, err := log.Read(ctx, stream, middle, 1, 0)
		if err != nil {
			return 0, err
		}
		if len(probe.Records) > 0 && probe.Records[0].AppendedAt < at {
			low = probe.Records[0].Offset + 1
		} else {
			high = middle
		}
	}
	return low, nil
}
