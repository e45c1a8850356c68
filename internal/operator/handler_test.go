package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/operator"
	"github.com/samphirefork/samphirefork/internal/operator/operatortest"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const token = "token of the operators"

// start serves the operator API on two entry instances with one fake leader.
func start(t *testing.T, timeout time.Duration) (*operatortest.Leader, [2]samphireforkv1connect.OperatorClient) {
	t.Helper()
	fakeLeader := operatortest.NewLeader()
	t.Cleanup(fakeLeader.Close)
	var clients [2]samphireforkv1connect.OperatorClient
	for i := range clients {
		clients[i] = samphireforkv1connect.NewOperatorClient(newTokenClient(token), serve(t, fakeLeader, timeout))
	}
	return fakeLeader, clients
}

func serve(t *testing.T, fakeLeader *operatortest.Leader, timeout time.Duration) string {
	pool := wire.NewPool(operatortest.Credentials, nil)
	t.Cleanup(pool.Close)
	opts := operator.Options{Token: token, KeySecret: operatortest.Credentials.Secret, Timeout: timeout}
	path, h := operator.NewHandler(leader.NewClient(pool, []string{fakeLeader.Address()}), opts)
	mux := http.NewServeMux()
	mux.Handle(path, h)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return srv.URL
}

type tokenClient string

func newTokenClient(value string) tokenClient { return tokenClient(value) }

func (c tokenClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+string(c))
	return http.DefaultClient.Do(r)
}

func header(id string, revision uint64) *samphireforkv1.ChangeHeader {
	return &samphireforkv1.ChangeHeader{RequestId: id, ExpectedRevision: revision, Operator: "ana"}
}

func putTeam(h *samphireforkv1.ChangeHeader, team *samphireforkv1.Team) *connect.Request[samphireforkv1.ApplyRequest] {
	item := &samphireforkv1.ChangeItem{Item: &samphireforkv1.ChangeItem_PutTeam{PutTeam: team}}
	return connect.NewRequest(&samphireforkv1.ApplyRequest{Change: h, Items: []*samphireforkv1.ChangeItem{item}})
}

func errorDetail(t *testing.T, err error) *samphireforkv1.ErrorDetail {
	t.Helper()
	var connectErr *connect.Error
	require.True(t, errors.As(err, &connectErr), "%v", err)
	require.Len(t, connectErr.Details(), 1)
	value, err := connectErr.Details()[0].Value()
	require.NoError(t, err)
	return value.(*samphireforkv1.ErrorDetail)
}

// A repeated request must return the first response and the same secret, without a second
// change, on whichever entry instance it arrives.
func TestResendReturnsFirstAnswerAndSameSecret(t *testing.T) {
	fakeLeader, clients := start(t, 10*time.Second)
	fakeLeader.DropReplies(1)
	var keys []string
	for _, c := range clients {
		resp, err := c.IssueKey(t.Context(), connect.NewRequest(&samphireforkv1.IssueKeyRequest{Change: header("k1", 0), Team: "north"}))
		require.NoError(t, err)
		require.EqualValues(t, 1, resp.Msg.GetOutcome().GetRevision())
		require.True(t, resp.Msg.GetOutcome().GetResent())
		keys = append(keys, resp.Msg.GetKey())
	}
	require.Equal(t, keys[0], keys[1])
	require.Equal(t, 1, fakeLeader.Accepted())

	id, secret, _ := strings.Cut(keys[0], ".")
	sum := sha256.Sum256([]byte(secret))
	require.Equal(t, hex.EncodeToString(sum[:]), fakeLeader.Config().Keys[id].SecretSHA256)

	other, err := clients[0].IssueKey(t.Context(), connect.NewRequest(&samphireforkv1.IssueKeyRequest{Change: header("k2", 1), Team: "north"}))
	require.NoError(t, err)
	require.NotEqual(t, keys[0], other.Msg.GetKey())
}

// A change that conflicts with another one must be refused with the present revision, so
// that the operator can continue from there. A request identifier that is reused for
// another change must not be taken for a repeated request.
func TestConflictCarriesPresentRevision(t *testing.T) {
	fakeLeader, clients := start(t, 10*time.Second)
	team := &samphireforkv1.Team{Name: "north", Share: 1, Limit: 4}
	_, err := clients[0].Apply(t.Context(), putTeam(header("a", 0), team))
	require.NoError(t, err)

	_, err = clients[1].Apply(t.Context(), putTeam(header("b", 0), team))
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))
	d := errorDetail(t, err)
	require.Equal(t, "revision_conflict", d.GetCode())
	require.EqualValues(t, 1, d.GetPresentRevision())
	require.Equal(t, samphireforkv1.Verdict_VERDICT_NOT_RUN, d.GetVerdict())

	team.Limit = 5
	_, err = clients[0].Apply(t.Context(), putTeam(header("a", 0), team))
	require.Equal(t, connect.CodeAlreadyExists, connect.CodeOf(err))
	require.Equal(t, 1, fakeLeader.Accepted())
}

// A change whose reply was lost must have the verdict may_have_run, and a change that no
// store has received the verdict not_run.
func TestVerdictOfUnansweredChange(t *testing.T) {
	const timeout = time.Second
	team := &samphireforkv1.Team{Name: "north", Share: 1, Limit: 4}

	fakeLeader, clients := start(t, timeout)
	fakeLeader.DropAllReplies()
	_, err := clients[0].Apply(t.Context(), putTeam(header("a", 0), team))
	require.Equal(t, samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN, errorDetail(t, err).GetVerdict(), "%v", err)
	require.Equal(t, 1, fakeLeader.Accepted())

	fakeLeader, clients = start(t, timeout)
	fakeLeader.Close()
	_, err = clients[0].Apply(t.Context(), putTeam(header("a", 0), team))
	d := errorDetail(t, err)
	require.Equal(t, samphireforkv1.Verdict_VERDICT_NOT_RUN, d.GetVerdict())
	require.Equal(t, operator.CodeNoLeader, d.GetCode())
	require.Positive(t, d.GetRetryAfterMs())
}

// Invalid input must be refused with the name of the field, and must not reach the
// replicated log.
func TestBadInputChangesNothing(t *testing.T) {
	fakeLeader, clients := start(t, 10*time.Second)
	good := &samphireforkv1.Team{Name: "north", Share: 1}
	cases := map[string]struct {
		req   *connect.Request[samphireforkv1.ApplyRequest]
		field string
	}{
		"no header":     {putTeam(nil, good), "change.request_id"},
		"bad request":   {putTeam(header("a b", 0), good), "change.request_id"},
		"no operator":   {putTeam(&samphireforkv1.ChangeHeader{RequestId: "a"}, good), "change.operator"},
		"long wait":     {putTeam(&samphireforkv1.ChangeHeader{RequestId: "a", Operator: "o", WaitInForceMs: 30_001}, good), "change.wait_in_force_ms"},
		"zero share":    {putTeam(header("a", 0), &samphireforkv1.Team{Name: "north"}), "items[0].share"},
		"missing value": {putTeam(header("a", 0), nil), "items[0].name"},
		"no items":      {connect.NewRequest(&samphireforkv1.ApplyRequest{Change: header("a", 0)}), "items"},
		"empty item": {connect.NewRequest(&samphireforkv1.ApplyRequest{
			Change: header("a", 0),
			Items:  []*samphireforkv1.ChangeItem{{}},
		}), "items[0]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := clients[0].Apply(t.Context(), c.req)
			require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
			require.True(t, strings.HasPrefix(errorDetail(t, err).GetMessage(), c.field), "%v", err)
		})
	}
	require.Zero(t, fakeLeader.Accepted())
}

// Calls without the operator token must be refused.
func TestTokenIsNeeded(t *testing.T) {
	fakeLeader := operatortest.NewLeader()
	t.Cleanup(fakeLeader.Close)
	url := serve(t, fakeLeader, 10*time.Second)
	for _, c := range []connect.HTTPClient{http.DefaultClient, newTokenClient(""), newTokenClient(token + "x")} {
		client := samphireforkv1connect.NewOperatorClient(c, url)
		_, err := client.Apply(t.Context(), putTeam(header("a", 0), &samphireforkv1.Team{Name: "n", Share: 1}))
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
		require.Equal(t, samphireforkv1.Verdict_VERDICT_NOT_RUN, errorDetail(t, err).GetVerdict())
		stream, err := client.Snapshot(context.Background(), connect.NewRequest(&samphireforkv1.SnapshotRequest{}))
		require.NoError(t, err)
		require.False(t, stream.Receive())
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(stream.Err()))
	}
	require.Zero(t, fakeLeader.Accepted())
}

// A snapshot document must contain no key hashes, and a document with missing or changed
// bytes must be rejected.
func TestSnapshotDetectsDamage(t *testing.T) {
	var reply wire.StatusReply
	config := fleet.NewState().Config
	config.Keys["k"] = fleet.Key{ID: "k", Team: "t", SecretSHA256: "0123456789abcdef"}
	reply.Config = &config
	doc, err := schema.EncodeSnapshot(reply)
	require.NoError(t, err)
	require.NotContains(t, string(doc), "0123456789abcdef")
	_, err = schema.DecodeSnapshot(doc)
	require.NoError(t, err)
	_, err = schema.DecodeSnapshot(doc[:len(doc)-1])
	require.ErrorIs(t, err, schema.ErrSnapshot)
	_, err = schema.DecodeSnapshot([]byte(strings.Replace(string(doc), `"term":0`, `"term":1`, 1)))
	require.ErrorIs(t, err, schema.ErrSnapshot)
}

// An evacuation must reach the log as one change and show in the status until it is ended.
// An unknown data centre must be refused with a typed error, and a missing name must not
// reach the log.
func TestEvacuate(t *testing.T) {
	fakeLeader, clients := start(t, 10*time.Second)
	item := &samphireforkv1.ChangeItem{Item: &samphireforkv1.ChangeItem_PutDataCentre{PutDataCentre: &samphireforkv1.DataCentre{Name: "dc1"}}}
	_, err := clients[0].Apply(t.Context(), connect.NewRequest(&samphireforkv1.ApplyRequest{Change: header("a", 0), Items: []*samphireforkv1.ChangeItem{item}}))
	require.NoError(t, err)
	order := func(client int, id string, revision uint64, dataCentre string, end bool) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.EvacuateRequest{Change: header(id, revision), DataCentre: dataCentre, End: end}
		resp, err := clients[client].Evacuate(t.Context(), connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return resp.Msg.GetOutcome(), nil
	}
	_, err = order(0, "x", 1, "dc9", false)
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(err))
	require.Equal(t, samphireforkv1.Verdict_VERDICT_NOT_RUN, errorDetail(t, err).GetVerdict())
	_, err = order(0, "y", 1, "", false)
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))

	fakeLeader.DropReplies(1)
	for client := range clients {
		out, err := order(client, "b", 1, "dc1", false)
		require.NoError(t, err)
		require.True(t, out.GetResent())
	}
	status, err := clients[1].Status(t.Context(), connect.NewRequest(&samphireforkv1.StatusRequest{}))
	require.NoError(t, err)
	require.Len(t, status.Msg.GetEvacuations(), 1)
	require.Equal(t, "dc1", status.Msg.GetEvacuations()[0].GetDataCentre())
	require.Positive(t, status.Msg.GetEvacuations()[0].GetSinceMs())
	_, err = order(1, "c", 2, "dc1", true)
	require.NoError(t, err)
	require.Empty(t, fakeLeader.Config().Evacuations)
	require.Equal(t, 3, fakeLeader.Accepted())
}
