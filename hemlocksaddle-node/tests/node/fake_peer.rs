//! Fake peer that sends messages a real node would not send, or at chosen times.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use hemlocksaddle_fakes::runtime::SimRuntime;
use hemlocksaddle_node::ports::{PeerLink, PeerReceiver, PeerSender};
use hemlocksaddle_types::{
    clock::Millis,
    name::NodeName,
    peer::{Heartbeat, Hello, Message, Request, Response, VERSION},
    record::Offset,
};

use crate::cluster::Cluster;

type Responder = Box<dyn Fn(&Request) -> Option<Response>>;

/// Fake peer; real nodes with lower names connect to it.
pub(crate) struct FakePeer {
    sim: SimRuntime,
    hello: Message,
    respond: Responder,
    /// Heartbeat that is sent every 500 ms; none if `None`.
    pub(crate) heartbeat: RefCell<Option<Heartbeat>>,
    /// Delay of answers to calls; calls are not answered if `None`.
    pub(crate) answer_delay_ms: Cell<Option<u64>>,
    /// Answered calls with the true time of their arrival in milliseconds.
    pub(crate) answered: RefCell<Vec<(u64, Request)>>,
    /// True times of this peer's calls in milliseconds, by call number.
    pub(crate) called_ms: RefCell<Vec<u64>>,
    /// Replies to this peer's calls: call number, sender, reply.
    pub(crate) replies: RefCell<Vec<(u64, NodeName, Response)>>,
    senders: RefCell<BTreeMap<NodeName, Rc<dyn PeerSender>>>,
}

impl FakePeer {
    /// Listens in place of a node of the cluster.
    pub(crate) fn new(
        cluster: &Cluster,
        index: usize,
        respond: impl Fn(&Request) -> Option<Response> + 'static,
    ) -> Rc<FakePeer> {
        let address = cluster.address(index);
        let peer = Rc::new(FakePeer {
            sim: cluster.platform.sim.clone(),
            hello: Message::Hello(Hello {
                version: VERSION,
                node: address.node.clone(),
                data_centre: address.data_centre.clone(),
                started_ms: 1,
            }),
            respond: Box::new(respond),
            heartbeat: RefCell::default(),
            answer_delay_ms: Cell::new(Some(0)),
            answered: RefCell::default(),
            called_ms: RefCell::default(),
            replies: RefCell::default(),
            senders: RefCell::default(),
        });
        let fake = peer.clone();
        let platform = &cluster.platform;
        platform.listen(address, move |link| fake.accept(link));
        peer
    }

    /// Calls all connected nodes.
    pub(crate) fn call_all(&self, request: &Request) {
        let number = self.called_ms.borrow().len() as u64;
        self.called_ms.borrow_mut().push(self.sim.now().0);
        for sender in self.senders.borrow().values() {
            // The real node reopens a closed connection.
            let _ = sender.send(Message::Call(number, request.clone()));
        }
    }

    fn accept(self: &Rc<Self>, link: PeerLink) {
        let PeerLink { sender, receiver } = link;
        if sender.send(self.hello.clone()).is_ok() {
            self.sim
                .spawn(0, self.clone().send_heartbeats(sender.clone()));
            self.sim.spawn(0, self.clone().serve(sender, receiver));
        }
    }

    async fn send_heartbeats(self: Rc<Self>, sender: Rc<dyn PeerSender>) {
        loop {
            let heartbeat = self.heartbeat.borrow().clone();
            let sent = heartbeat.map(|heartbeat| sender.send(Message::Heartbeat(heartbeat)));
            if sent.is_some_and(|sent| sent.is_err()) {
                return;
            }
            self.sim.sleep(Millis(500)).await;
        }
    }

    async fn serve(
        self: Rc<Self>,
        sender: Rc<dyn PeerSender>,
        mut receiver: Box<dyn PeerReceiver>,
    ) {
        let mut from = None;
        while let Ok(message) = receiver.receive().await {
            match message {
                Message::Hello(hello) => {
                    let mut senders = self.senders.borrow_mut();
                    senders.insert(hello.node.clone(), sender.clone());
                    from = Some(hello.node);
                }
                Message::Call(number, request) => self.reply(&sender, number, request),
                Message::Reply(number, response) => {
                    let from = from.clone().expect("a hello comes first");
                    self.replies.borrow_mut().push((number, from, response));
                }
                Message::Heartbeat(_) => {}
            }
        }
    }

    fn reply(self: &Rc<Self>, sender: &Rc<dyn PeerSender>, number: u64, request: Request) {
        let (Some(delay_ms), Some(response)) =
            (self.answer_delay_ms.get(), (self.respond)(&request))
        else {
            return;
        };
        let now = self.sim.now().0;
        self.answered.borrow_mut().push((now, request));
        let (sim, sender) = (self.sim.clone(), sender.clone());
        self.sim.spawn(0, async move {
            sim.sleep(Millis(delay_ms)).await;
            // Stray replies that belong to no call must have no effect.
            for stray in [0, number + 1_000_000] {
                let _ = sender.send(Message::Reply(stray, Response::Ok));
            }
            let _ = sender.send(Message::Reply(number, response));
        });
    }
}

/// Heartbeat of a ready node whose last call to the log failed 500 ms ago.
pub(crate) fn outage_heartbeat(documents_next: Offset) -> Heartbeat {
    Heartbeat {
        documents_next,
        ready: true,
        leaving: false,
        log_failed_ago_ms: Some(Millis(500)),
        publish_unsettled: false,
        slots: Vec::new(),
        racks: Vec::new(),
    }
}
