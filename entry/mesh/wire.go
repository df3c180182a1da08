package mesh

import (
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/ticket"
)

func entriesToWire(entries []ticket.Entry) []*peerv1.ConfigEntry {
	wire := make([]*peerv1.ConfigEntry, 0, len(entries))
	for _, e := range entries {
		wire = append(wire, &peerv1.ConfigEntry{
			Kind: string(e.Kind), Name: e.Name, Number: int64(e.Number), Offset: int64(e.Offset), Body: e.Body,
		})
	}
	return wire
}

func entriesFromWire(wire []*peerv1.ConfigEntry) []ticket.Entry {
	entries := make([]ticket.Entry, 0, len(wire))
	for _, w := range wire {
		entries = append(entries, ticket.Entry{
			Kind: ticket.ObjectKind(w.Kind), Name: w.Name,
			Number: ticket.Number(w.Number), Offset: ticket.Offset(w.Offset), Body: w.Body,
		})
	}
	return entries
}

func rowsToWire(rows []evidence.Row) []*peerv1.Counter {
	wire := make([]*peerv1.Counter, 0, len(rows))
	for _, row := range rows {
		series := &row.Series
		wire = append(wire, &peerv1.Counter{
			Instance:  row.Instance,
			RollOut:   string(series.Rollout),
			Number:    int64(series.Number),
			Arm:       string(series.Arm),
			Workspace: string(series.Workspace),
			Class:     string(series.Class),
			Version:   string(series.Version),
			Epoch:     int64(series.Epoch),
			Exposed:   row.Tally.Exposed,
			Good:      row.Tally.Good,
			Bad:       row.Tally.Bad,
		})
	}
	return wire
}

func rowsFromWire(wire []*peerv1.Counter) []evidence.Row {
	rows := make([]evidence.Row, 0, len(wire))
	for _, w := range wire {
		rows = append(rows, evidence.Row{
			Instance: w.Instance,
			Series: evidence.Series{
				Rollout:   ticket.RolloutName(w.RollOut),
				Number:    ticket.Number(w.Number),
				Arm:       evidence.Arm(w.Arm),
				Workspace: ticket.WorkspaceName(w.Workspace),
				Class:     ticket.Class(w.Class),
				Version:   ticket.VersionRef(w.Version),
				Epoch:     evidence.Epoch(w.Epoch),
			},
			Tally: evidence.Tally{Exposed: w.Exposed, Good: w.Good, Bad: w.Bad},
		})
	}
	return rows
}
