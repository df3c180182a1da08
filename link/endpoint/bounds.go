package endpoint

const (
	// maxHead bounds an answer's head in bytes; net/http's own bound is 10 MB, and
	// endpoints send some 300.
	maxHead = 32 << 10
	// maxReportBytes bounds a report; one that names a thousand versions has 64 KB.
	maxReportBytes = 256 << 10
)
