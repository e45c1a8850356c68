package slopes

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
)

const (
	operatorName    = "slopes"
	operatorTimeout = 5 * time.Second
)

// changer makes configuration changes one after the other, each against the
// revision of the one before, without waiting until they are in force.
type changer struct {
	client   samphireforkv1connect.OperatorClient
	revision uint64
	serial   int
}

func newChanger(entry string, revision uint64) *changer {
	auth := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+harness.OperatorToken)
			return next(ctx, req)
		}
	}))
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{}}
	return &changer{client: samphireforkv1connect.NewOperatorClient(client, "http://"+entry, auth), revision: revision}
}

func (c *changer) header() *samphireforkv1.ChangeHeader {
	c.serial++
	return &samphireforkv1.ChangeHeader{
		RequestId:        fmt.Sprintf("%s-%d-%d", operatorName, c.revision, c.serial),
		ExpectedRevision: c.revision,
		Operator:         operatorName,
	}
}

// issueKeys issues a key to each of the first n teams.
func (c *changer) issueKeys(ctx context.Context, n int) ([]harness.TeamKey, error) {
	var keys []harness.TeamKey
	for i := range n {
		req := &samphireforkv1.IssueKeyRequest{Change: c.header(), Team: teamName(i)}
		resp, err := c.client.IssueKey(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, errors.Wrap(err, "slopes: issue key")
		}
		c.revision = resp.Msg.GetOutcome().GetRevision()
		keys = append(keys, harness.TeamKey{ID: resp.Msg.GetKeyId(), Key: resp.Msg.GetKey()})
	}
	return keys, nil
}

// changeLimit changes the limit of the first team.
func (c *changer) changeLimit(ctx context.Context) error {
	team := fleet.Team{Name: teamName(0), Share: 1, Limit: teamLimit + c.serial%2}
	item, err := schema.FromItem(fleet.ChangeItem{PutTeam: &team})
	if err != nil {
		return errors.Wrap(err, "slopes: encode change")
	}
	req := &samphireforkv1.ApplyRequest{Change: c.header(), Items: []*samphireforkv1.ChangeItem{item}}
	resp, err := c.client.Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrap(err, "slopes: change")
	}
	c.revision = resp.Msg.GetOutcome().GetRevision()
	return nil
}
