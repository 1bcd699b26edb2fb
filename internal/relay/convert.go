package relay

import (
	"math"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/statement"
	"github.com/bramleylever/bramleylever/position"
)

func toPosition(p position.Position) *peerv1.RelayPosition {
	if p.IsZero() {
		return nil
	}
	return &peerv1.RelayPosition{Epoch: p.Term.Epoch, Sequence: p.Term.Sequence, Lsn: uint64(p.LSN)}
}

func fromPosition(p *peerv1.RelayPosition) position.Position {
	return position.Position{
		Term: position.Term{Epoch: p.GetEpoch(), Sequence: p.GetSequence()}, LSN: position.LSN(p.GetLsn()),
	}
}

// dueToProto returns the time that is left until an objective ends, at least 1 ms, or 0 if there
// is none.
func dueToProto(due time.Time) int64 {
	if due.IsZero() {
		return 0
	}
	return max(1, time.Until(due).Milliseconds())
}

func dueFromProto(ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond)
}

func toStatement(s *statement.Statement) *peerv1.RelayStatement {
	return &peerv1.RelayStatement{
		Id: []byte(s.ID), Kind: uint32(s.Kind), ReadOnly: s.ReadOnly, Writes: s.Writes, Name: []byte(s.Name), Value: []byte(s.Value),
		Args: []byte(s.Args), Text: []byte(s.Text), After: toPosition(s.After), Term: s.Term,
	}
}

func fromStatement(s *peerv1.RelayStatement) statement.Statement {
	return statement.Statement{
		ID: string(s.GetId()), Kind: statement.Kind(s.GetKind()), ReadOnly: s.GetReadOnly(), Writes: s.GetWrites(),
		Name: string(s.GetName()), Value: string(s.GetValue()), Args: string(s.GetArgs()), Text: string(s.GetText()),
		After: fromPosition(s.GetAfter()), Term: s.GetTerm(),
	}
}

func toBytes(rows []string) [][]byte {
	out := make([][]byte, 0, len(rows))
	for _, row := range rows {
		out = append(out, []byte(row))
	}
	return out
}

func fromBytes(rows [][]byte) []string {
	if len(rows) == 0 {
		return nil
	}
	out := make([]string, 0, len(rows))
	for _, row := range rows {
		out = append(out, string(row))
	}
	return out
}

func toResult(r *statement.Result) *peerv1.RelayResult {
	out := &peerv1.RelayResult{
		Rows: toBytes(r.Rows), Signature: []byte(r.Signature), Code: []byte(r.Code), Detail: []byte(r.Detail),
		State: uint32(r.State), Position: toPosition(r.Position),
	}
	if r.Instance != nil {
		out.Instance = &peerv1.RelayInstance{
			Primary: r.Instance.Primary, Term: r.Instance.Term, Received: toPosition(r.Instance.Received), LagMs: r.Instance.Lag.Milliseconds(),
			Paused: &r.Instance.Paused,
		}
	}
	return out
}

func fromResult(r *peerv1.RelayResult) statement.Result {
	out := statement.Result{
		Rows: fromBytes(r.GetRows()), Signature: string(r.GetSignature()), Code: statement.Code(r.GetCode()), Detail: string(r.GetDetail()),
		State: statement.State(r.GetState()), Position: fromPosition(r.GetPosition()),
	}
	if in := r.GetInstance(); in != nil {
		out.Instance = &statement.Instance{
			Primary: in.GetPrimary(), Term: in.GetTerm(), Received: fromPosition(in.GetReceived()), Lag: time.Duration(in.GetLagMs()) * time.Millisecond,
			Paused: unknownPause,
		}
		if in.Paused != nil {
			out.Instance.Paused = in.GetPaused()
		}
	}
	return out
}

// unknownPause stands for the pause in an answer of an earlier build, which does not report
// it. It counts as one that was taken.
const unknownPause = math.MaxUint64

func toRequest(w *connpool.Work, remaining time.Duration) *peerv1.LeaseRequest {
	request := &peerv1.LeaseRequest{RemainingMs: remaining.Milliseconds()}
	for name, value := range w.Values {
		request.Values = append(request.Values, &peerv1.Variable{Name: []byte(name), Value: []byte(value)})
	}
	if w.Prepared != nil {
		request.Prepared = true
		request.PreparedWrites, request.PreparedShape = w.Prepared.Writes, []byte(w.Prepared.Shape)
	}
	if w.Begin != nil {
		request.Begin = toStatement(w.Begin)
	}
	for i := range w.Statements {
		request.Statements = append(request.Statements, toStatement(&w.Statements[i]))
	}
	return request
}

func fromRequest(r *peerv1.LeaseRequest) connpool.Work {
	w := connpool.Work{Values: make(connpool.Values, len(r.GetValues()))}
	for _, v := range r.GetValues() {
		w.Values[string(v.GetName())] = string(v.GetValue())
	}
	if r.GetPrepared() {
		w.Prepared = &connpool.Prepared{Writes: r.GetPreparedWrites(), Shape: string(r.GetPreparedShape())}
	}
	if r.GetBegin() != nil {
		begin := fromStatement(r.GetBegin())
		w.Begin = &begin
	}
	for _, s := range r.GetStatements() {
		w.Statements = append(w.Statements, fromStatement(s))
	}
	return w
}

func toReply(a *connpool.Answer) *peerv1.LeaseReply {
	reply := &peerv1.LeaseReply{Began: toPosition(a.BeginPosition), Use: uint32(a.Load)}
	if a.Refused != nil {
		reply.Refused = toResult(a.Refused)
	}
	for i := range a.Results {
		reply.Results = append(reply.Results, toResult(&a.Results[i]))
	}
	return reply
}

func fromReply(r *peerv1.LeaseReply) connpool.Answer {
	a := connpool.Answer{BeginPosition: fromPosition(r.GetBegan()), Load: int(r.GetUse())}
	if r.GetRefused() != nil {
		refused := fromResult(r.GetRefused())
		a.Refused = &refused
	}
	for _, result := range r.GetResults() {
		a.Results = append(a.Results, fromResult(result))
	}
	return a
}
